#pragma once

#include "pimentostage/base/EnumNames.h"

#include <boost/leaf.hpp>

#include <string>

namespace pimentostage {

namespace leaf = boost::leaf;

/// The operation during which an error occurred.
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

/// The kind of peer that an error concerns.
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

/// The peer that an error concerns.
struct Peer
{
    PeerKind kind_;
    std::string name_; ///< address, file or name of the peer
};

/// The kind of an error, independent of the operation and the peer.
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
    ConnectionClosed, ///< of the only connection on which a request may be sent
    ClosedUnanswered, ///< the peer closed or reset the connection before any byte of an answer
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
        EnumName<ErrorCode> { ErrorCode::ConnectionClosed, "connection-closed" },
        EnumName<ErrorCode> { ErrorCode::ClosedUnanswered, "closed-unanswered" },
    };
};

/// An error with the operation and the peer that it concerns.
struct Error
{
    Step step_;
    Peer peer_;
    ErrorCode code_;
    std::string detail_;

    /// @return one human-readable line: "step: peer kind and name: code: detail".
    [[nodiscard]] std::string describe() const;
};

/// Creates a LEAF error that carries @p error.
/// @return the id of the error, convertible to any leaf::result.
leaf::error_id fail(Error error);

/// Calls @p attempt and, if it fails, @p onError.
/// @param attempt function that returns leaf::result<T>.
/// @param onError function that takes const Error & and returns T.
/// @return the value of @p attempt, or the value that @p onError returned for its error.
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
