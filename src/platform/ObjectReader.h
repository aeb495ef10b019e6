#pragma once

#include "pimentostage/base/Error.h"
#include "pimentostage/platform/ObjectCodec.h"

#include <algorithm>
#include <cmath>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include <nlohmann/json.hpp>

namespace pimentostage {

/// Reads fields of one JSON object and collects every fault.
class ObjectReader
{
public:
    ObjectReader(ObjectRef ref, const std::string &value)
        : ref_(std::move(ref))
        , json_(nlohmann::json::parse(value, nullptr, false))
    {
        if (!json_.is_object()) {
            addFault("value", "is not a JSON object");
            json_ = nlohmann::json::object();
        }
    }

    ObjectReader(ObjectReader *parent, const nlohmann::json &json, std::string path)
        : ref_(parent->ref_)
        , json_(json.is_object() ? json : nlohmann::json::object())
        , path_(std::move(path))
        , parent_(parent)
    {
        if (!json.is_object())
            addFault("", "is not a JSON object");
    }

    std::string text(const char *field, std::string fallback = {})
    {
        const nlohmann::json *value = find(field);
        if (!value)
            return fallback;
        if (!value->is_string()) {
            addFault(field, "must be a string");
            return fallback;
        }
        return value->get<std::string>();
    }

    std::string requiredText(const char *field)
    {
        std::string value = text(field);
        if (value.empty())
            addFault(field, "must be a non-empty string");
        return value;
    }

    double number(const char *field, double fallback, double least, double most)
    {
        const nlohmann::json *value = find(field);
        if (!value)
            return fallback;
        const bool isValid = value->is_number() && std::isfinite(value->get<double>())
                             && value->get<double>() >= least && value->get<double>() <= most;
        if (!isValid) {
            addFault(field, "must be a number from " + nlohmann::json(least).dump() + " to "
                                + nlohmann::json(most).dump());
            return fallback;
        }
        return value->get<double>();
    }

    std::uint32_t count(const char *field, std::uint32_t fallback, std::uint32_t least,
                        std::uint32_t most)
    {
        return static_cast<std::uint32_t>(number(field, fallback, least, most));
    }

    /// @param fallback value of a missing field; without one the field is required.
    std::uint64_t sequence(const char *field, std::optional<std::uint64_t> fallback = {})
    {
        const nlohmann::json *value = find(field);
        if (!value && fallback)
            return *fallback;
        if (!value || !value->is_number_unsigned()) {
            addFault(field, "must be a whole number that is not negative");
            return 0;
        }
        return value->get<std::uint64_t>();
    }

    Duration milliseconds(const char *field, double fallback, double least, double most)
    {
        const double kMillisecondsPerSecond = 1000;
        return fromSeconds(number(field, fallback, least, most) / kMillisecondsPerSecond);
    }

    bool flag(const char *field, bool fallback)
    {
        const nlohmann::json *value = find(field);
        if (!value)
            return fallback;
        if (!value->is_boolean()) {
            addFault(field, "must be true or false");
            return fallback;
        }
        return value->get<bool>();
    }

    template <typename E>
    E choice(const char *field, E fallback)
    {
        const nlohmann::json *value = find(field);
        if (!value)
            return fallback;
        const auto chosen
            = value->is_string() ? fromString<E>(value->get<std::string>()) : std::nullopt;
        if (!chosen) {
            std::string allowed;
            for (const auto &row : EnumTable<E>::kRows)
                allowed += (allowed.empty() ? "" : ", ") + std::string(row.name_);
            addFault(field, "must be one of " + allowed);
        }
        return chosen.value_or(fallback);
    }

    Address address(const char *field)
    {
        const auto parsed = parseAddress(text(field));
        if (!parsed)
            addFault(field, "must be ip:port with an IP number");
        return parsed.value_or(Address {});
    }

    std::vector<std::string> texts(const char *field)
    {
        std::vector<std::string> values;
        for (const nlohmann::json &item : array(field)) {
            if (item.is_string())
                values.push_back(item.get<std::string>());
            else
                addFault(field, "must hold strings");
        }
        return values;
    }

    nlohmann::json array(const char *field)
    {
        const nlohmann::json *value = find(field);
        if (!value)
            return nlohmann::json::array();
        if (!value->is_array()) {
            addFault(field, "must be an array");
            return nlohmann::json::array();
        }
        return *value;
    }

    ObjectReader child(const nlohmann::json &json, const char *field, std::size_t index)
    {
        return { this, json, path_ + field + '[' + std::to_string(index) + "]." };
    }

    void addFault(const std::string &field, const std::string &what)
    {
        std::string &faults = root().faults_;
        if (!faults.empty())
            faults += "; ";
        faults += path_ + field + ' ' + what;
    }

    /// Reports fields that no reader asked for.
    void checkNoOtherFields()
    {
        for (const auto &item : json_.items()) {
            if (std::find(seen_.begin(), seen_.end(), item.key()) == seen_.end())
                addFault(item.key(), "is not a known field");
        }
    }

    /// @return the error with all faults found, if there is any.
    leaf::result<void> result() const
    {
        if (faults_.empty())
            return {};
        return fail(Error { Step::ParseObject, Peer { PeerKind::Platform, ref_.str() },
                            ErrorCode::Malformed, faults_ });
    }

private:
    const nlohmann::json *find(const char *field)
    {
        seen_.emplace_back(field);
        const auto found = json_.find(field);
        return found == json_.end() ? nullptr : &*found;
    }

    ObjectReader &root() { return parent_ ? parent_->root() : *this; }

    ObjectRef ref_;
    nlohmann::json json_;
    std::string path_;
    ObjectReader *parent_ = nullptr;
    std::string faults_;
    // Any object may carry the id of the change that wrote it.
    std::vector<std::string> seen_ { kChangeIdField };
};

} // namespace pimentostage
