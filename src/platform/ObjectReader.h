#pragma once

#include "pimentostage/base/Error.h"
#include "pimentostage/platform/ObjectCodec.h"
#include "src/base/JsonText.h"

#include <algorithm>
#include <cmath>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include <nlohmann/json.hpp>

namespace pimentostage {

inline constexpr double kMillisecondsPerSecond = 1000;
inline constexpr double kMinTimeoutMs = 1;
inline constexpr double kMaxTimeoutMs = 86'400'000; // a day, as in the settings

/// @return @p duration as ObjectReader::milliseconds() reads it.
inline double milliseconds(Duration duration)
{
    return static_cast<double>(toMilliseconds(duration));
}

/// Reads the fields of one JSON object and collects all errors.
class ObjectReader
{
public:
    ObjectReader(ObjectRef ref, const std::string &value)
        : ref_(std::move(ref))
        , json_(parseJson(value).value_or(nlohmann::json()))
    {
        if (!json_.is_object()) {
            addError("value", "is not a JSON object");
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
            addError("", "is not a JSON object");
    }

    std::string text(const char *field, std::string defaultValue = {})
    {
        const nlohmann::json *value = find(field);
        if (!value)
            return defaultValue;
        if (!value->is_string()) {
            addError(field, "must be a string");
            return defaultValue;
        }
        return value->get<std::string>();
    }

    std::string requiredText(const char *field)
    {
        std::string value = text(field);
        if (value.empty())
            addError(field, "must be a non-empty string");
        return value;
    }

    double number(const char *field, double defaultValue, double min, double max)
    {
        const nlohmann::json *value = find(field);
        if (!value)
            return defaultValue;
        const bool isValid = value->is_number() && std::isfinite(value->get<double>())
                             && value->get<double>() >= min && value->get<double>() <= max;
        if (!isValid) {
            addError(field, "must be a number from " + nlohmann::json(min).dump() + " to "
                                + nlohmann::json(max).dump());
            return defaultValue;
        }
        return value->get<double>();
    }

    /// @return the number in @p field; nothing if the field is missing or invalid.
    std::optional<double> optionalNumber(const char *field, double min, double max)
    {
        return find(field) ? std::optional(number(field, min, min, max)) : std::nullopt;
    }

    std::uint32_t count(const char *field, std::uint32_t defaultValue, std::uint32_t min,
                        std::uint32_t max)
    {
        return static_cast<std::uint32_t>(number(field, defaultValue, min, max));
    }

    /// @param defaultValue value of a missing field; if empty, the field is required.
    std::uint64_t unsignedInteger(const char *field, std::optional<std::uint64_t> defaultValue = {})
    {
        const nlohmann::json *value = find(field);
        if (!value && defaultValue)
            return *defaultValue;
        if (!value || !value->is_number_unsigned()) {
            addError(field, "must be a non-negative integer");
            return 0;
        }
        return value->get<std::uint64_t>();
    }

    Duration milliseconds(const char *field, double defaultValue, double min, double max)
    {
        return fromSeconds(number(field, defaultValue, min, max) / kMillisecondsPerSecond);
    }

    /// @return as milliseconds(), rounded to whole milliseconds, so that what is parsed equals what
    ///         is written and parsed again.
    Duration wholeMilliseconds(const char *field, double defaultValue, double min, double max)
    {
        return std::chrono::round<std::chrono::milliseconds>(
            milliseconds(field, defaultValue, min, max));
    }

    bool flag(const char *field, bool defaultValue)
    {
        const nlohmann::json *value = find(field);
        if (!value)
            return defaultValue;
        if (!value->is_boolean()) {
            addError(field, "must be true or false");
            return defaultValue;
        }
        return value->get<bool>();
    }

    template <typename E>
    E enumValue(const char *field, E defaultValue)
    {
        const nlohmann::json *value = find(field);
        if (!value)
            return defaultValue;
        const auto parsed
            = value->is_string() ? fromString<E>(value->get<std::string>()) : std::nullopt;
        if (!parsed) {
            std::string allowed;
            for (const auto &row : EnumTable<E>::kRows)
                allowed += (allowed.empty() ? "" : ", ") + std::string(row.name_);
            addError(field, "must be one of " + allowed);
        }
        return parsed.value_or(defaultValue);
    }

    /// As enumValue(), but a missing field is an error.
    template <typename E>
    E requiredEnumValue(const char *field, E valueOnError)
    {
        if (!find(field))
            addError(field, "is required");
        return enumValue(field, valueOnError);
    }

    Address address(const char *field)
    {
        const auto parsed = parseAddress(text(field));
        if (!parsed)
            addError(field, "must be ip:port with an IPv4 address");
        return parsed.value_or(Address {});
    }

    std::vector<std::string> textArray(const char *field)
    {
        std::vector<std::string> values;
        for (const nlohmann::json &item : array(field)) {
            if (item.is_string())
                values.push_back(item.get<std::string>());
            else
                addError(field, "must hold strings");
        }
        return values;
    }

    nlohmann::json array(const char *field)
    {
        const nlohmann::json *value = find(field);
        if (!value)
            return nlohmann::json::array();
        if (!value->is_array()) {
            addError(field, "must be an array");
            return nlohmann::json::array();
        }
        return *value;
    }

    /// @return whether @p field is stated, even as null.
    bool has(const char *field) { return find(field) != nullptr; }

    /// @return whether @p field is missing or null, for fields in which null means the same.
    bool isAbsent(const char *field)
    {
        const nlohmann::json *value = find(field);
        return !value || value->is_null();
    }

    /// As array(), but a missing field is an error.
    nlohmann::json requiredArray(const char *field)
    {
        if (!find(field))
            addError(field, "must be an array");
        return array(field);
    }

    ObjectReader child(const nlohmann::json &json, const char *field, std::size_t index)
    {
        return { this, json, path_ + field + '[' + std::to_string(index) + "]." };
    }

    /// @return the object in @p field; an empty one if the field is missing.
    ObjectReader object(const char *field)
    {
        const nlohmann::json *value = find(field);
        return { this, value ? *value : nlohmann::json::object(), path_ + field + '.' };
    }

    void addError(const std::string &field, const std::string &what)
    {
        std::string &errors = root().errors_;
        if (!errors.empty())
            errors += "; ";
        errors += path_ + field + ' ' + what;
    }

    /// Adds an error for each field that has not been read.
    void rejectUnknownFields()
    {
        for (const auto &item : json_.items()) {
            if (std::find(requestedFields_.begin(), requestedFields_.end(), item.key())
                == requestedFields_.end())
                addError(item.key(), "is not a known field");
        }
    }

    /// @return nothing, or one Error that lists all errors found.
    leaf::result<void> result() const
    {
        if (errors_.empty())
            return {};
        return fail(Error { Step::ParseObject, Peer { PeerKind::Platform, ref_.str() },
                            ErrorCode::Malformed, errors_ });
    }

private:
    const nlohmann::json *find(const char *field)
    {
        requestedFields_.emplace_back(field);
        const auto found = json_.find(field);
        return found == json_.end() ? nullptr : &*found;
    }

    ObjectReader &root() { return parent_ ? parent_->root() : *this; }

    ObjectRef ref_;
    nlohmann::json json_;
    std::string path_;
    ObjectReader *parent_ = nullptr;
    std::string errors_;
    // The change id is allowed in any object.
    std::vector<std::string> requestedFields_ { kChangeIdField };
};

} // namespace pimentostage
