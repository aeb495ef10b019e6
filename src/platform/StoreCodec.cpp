#include "src/platform/StoreCodec.h"

#include "src/base/JsonText.h"

#include <nlohmann/json.hpp>

namespace pimentostage {

namespace {

using Json = nlohmann::json;

Json toJson(const StoredObject &object)
{
    Json json { { "kind", toString(object.ref_.kind_) },
                { "name", object.ref_.name_ },
                { "version", object.version_.value_ } };
    if (object.deleted_)
        json["deleted"] = true;
    else
        json["value"] = object.value_;
    return json;
}

std::optional<StoredObject> fromJson(const Json &json)
{
    const bool isObject = json.is_object() && json.value("kind", Json()).is_string()
                          && json.value("name", Json()).is_string()
                          && json.value("version", Json()).is_number_unsigned();
    if (!isObject)
        return std::nullopt;
    const auto kind = fromString<ObjectKind>(json["kind"].get<std::string>());
    if (!kind)
        return std::nullopt;
    StoredObject object;
    object.ref_ = ObjectRef { *kind, json["name"].get<std::string>() };
    object.version_ = Version { json["version"].get<std::uint64_t>() };
    object.deleted_ = json.value("deleted", Json(false)) == Json(true);
    if (object.deleted_)
        return object;
    const Json value = json.value("value", Json());
    if (!value.is_string())
        return std::nullopt;
    object.value_ = value.get<std::string>();
    return object;
}

} // namespace

std::string formatListing(const StoreListing &listing)
{
    Json objects = Json::array();
    for (const StoredObject &object : listing.objects_)
        objects.push_back(toJson(object));
    return Json({ { "revision", listing.revision_.value_ }, { "objects", objects } }).dump();
}

std::optional<StoreListing> parseListing(const std::string &text)
{
    const auto members = splitJsonObject(text);
    const auto revision = members ? parseJsonMember(*members, "revision") : std::nullopt;
    if (!revision || !revision->is_number_unsigned() || !members->contains("objects"))
        return std::nullopt;
    const auto objects = splitJsonArray(members->at("objects"));
    if (!objects)
        return std::nullopt;
    StoreListing listing;
    listing.revision_ = Version { revision->get<std::uint64_t>() };
    for (const std::string_view item : *objects) {
        // Ignores objects that cannot be read and those of kinds that this version does not
        // support.
        if (auto object = parseStoredObject(item))
            listing.objects_.push_back(std::move(*object));
    }
    return listing;
}

std::string formatStoredObject(const StoredObject &object)
{
    return toJson(object).dump();
}

std::optional<StoredObject> parseStoredObject(std::string_view text)
{
    const auto json = parseJson(text);
    return json ? fromJson(*json) : std::nullopt;
}

std::string formatWritten(Version version)
{
    return Json({ { "version", version.value_ } }).dump();
}

std::optional<Version> parseWritten(const std::string &text)
{
    const auto json = parseJson(text);
    if (!json || !json->is_object() || !json->value("version", Json()).is_number_unsigned())
        return std::nullopt;
    return Version { json->at("version").get<std::uint64_t>() };
}

} // namespace pimentostage
