#pragma once

#include "pimentostage/platform/ObjectStore.h"

#include <optional>
#include <string>
#include <string_view>

namespace pimentostage {

/// @return the JSON form of @p listing that the store's protocol uses.
std::string formatListing(const StoreListing &listing);
/// @return the listing in @p text, or nothing if @p text is not a listing.
std::optional<StoreListing> parseListing(const std::string &text);

/// @return the JSON form of @p object that the store's protocol uses.
std::string formatStoredObject(const StoredObject &object);
/// @return the object in @p text, or nothing if @p text is not an object.
std::optional<StoredObject> parseStoredObject(std::string_view text);

/// @return the reply to a write that took effect.
std::string formatWritten(Version version);
/// @return the version in @p text, or nothing if @p text has no valid version.
std::optional<Version> parseWritten(const std::string &text);

} // namespace pimentostage
