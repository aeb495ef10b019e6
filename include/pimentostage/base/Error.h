#pragma once

#include "pimentostage/base/EnumNames.h"

#include <boost/leaf.hpp>

#include <string>

namespace pimentostage {

namespace leaf = boost::leaf;

/// What the program was doing when an error arose.
enum class Step {
    ReadSettings,
    Listen,
    ParseRequest,
    Authenticate,
    Admit,
    Route,
    Connect,
    SendRequest,
    ReadAnswer,
    CheckAnswer,
    ReadStore,
    WriteStore,
    WatchStore,
    ParseObject,
    DecodeFrame,
    Grant,
};

template <>
struct EnumTable<Step>
{
    static constexpr std::array kRows {
        EnumName<Step> { Step::ReadSettings, "read-settings" },
        EnumName<Step> { Step::Listen, "listen" },
        EnumName<Step> { Step::ParseRequest, "parse-request" },
        EnumName<Step> { Step::Authenticate, "authenticate" },
        EnumName<Step> { Step::Admit, "admit" },
        EnumName<Step> { Step::Route, "route" },
        EnumName<Step> { Step::Connect, "connect" },
        EnumName<Step> { Step::SendRequest, "send-request" },
        EnumName<Step> { Step::ReadAnswer, "read-answer" },
        EnumName<Step> { Step::CheckAnswer, "check-answer" },
        EnumName<Step> { Step::ReadStore, "read-store" },
        EnumName<Step> { Step::WriteStore, "write-store" },
        EnumName<Step> { Step::WatchStore, "watch-store" },
        EnumName<Step> { Step::ParseObject, "parse-object" },
        EnumName<Step> { Step::DecodeFrame, "decode-frame" },
        EnumName<Step> { Step::Grant, "grant" },
    };
};

/// The kind of peer an error concerns.
enum class PeerKind { Caller, Backend, Platform, Sibling, Operator };

template <>
struct EnumTable<PeerKind>
{
    static constexpr std::array kRows {
        EnumName<PeerKind> { PeerKind::Caller, "caller" },
        EnumName<PeerKind> { PeerKind::Backend, "backend" },
        EnumName<PeerKind> { PeerKind::Platform, "platform" },
        EnumName<PeerKind> { PeerKind::Sibling, "sibling" },
        EnumName<PeerKind> { PeerKind::Operator, "operator" },
    };
};

/// The peer at which an error arose.
struct Peer
{
    PeerKind kind_;
    std::string name_; ///< address, file or name of the peer
};

/// What went wrong, independent of where.
enum class ErrorCode {
    InvalidValue,
    Malformed,
    TooLarge,
    Unreachable,
    Timeout,
    Conflict,
    NotFound,
    Unavailable,
    Mismatch,
    Stale,
};

template <>
struct EnumTable<ErrorCode>
{
    static constexpr std::array kRows {
        EnumName<ErrorCode> { ErrorCode::InvalidValue, "invalid-value" },
        EnumName<ErrorCode> { ErrorCode::Malformed, "malformed" },
        EnumName<ErrorCode> { ErrorCode::TooLarge, "too-large" },
        EnumName<ErrorCode> { ErrorCode::Unreachable, "unreachable" },
        EnumName<ErrorCode> { ErrorCode::Timeout, "timeout" },
        EnumName<ErrorCode> { ErrorCode::Conflict, "conflict" },
        EnumName<ErrorCode> { ErrorCode::NotFound, "not-found" },
        EnumName<ErrorCode> { ErrorCode::Unavailable, "unavailable" },
        EnumName<ErrorCode> { ErrorCode::Mismatch, "mismatch" },
        EnumName<ErrorCode> { ErrorCode::Stale, "stale" },
    };
};

/// An error with the step and the peer at which it arose.
struct Error
{
    Step step_;
    Peer peer_;
    ErrorCode code_;
    std::string detail_;

    /// @return one line for a person: step, peer, code and detail.
    [[nodiscard]] std::string describe() const;
};

/// Loads @p error into LEAF and returns its id, convertible to any leaf::result.
leaf::error_id fail(Error error);

/// Runs @p attempt and hands any error to @p onError.
/// @param attempt returns leaf::result<T>.
/// @param onError takes const Error & and returns T.
/// @return the value of @p attempt or what @p onError made of the error.
template <typename Attempt, typename OnError>
auto valueOr(Attempt &&attempt, OnError &&onError)
{
    return leaf::try_handle_all(
        std::forward<Attempt>(attempt), [&](const Error &error) { return onError(error); },
        [&] {
            return onError(Error { Step::Route, Peer { PeerKind::Operator, "" },
                                   ErrorCode::InvalidValue, "error of unknown type" });
        });
}

} // namespace pimentostage
