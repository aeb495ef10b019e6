#pragma once

#include "pimentostage/base/Error.h"

#include <string>
#include <vector>

namespace pimentostage {

/// A kind of request in a load.
struct LoadRequest
{
    std::string kind_;
    std::string method_;
    std::string path_; ///< "{key}" is replaced by a random key
    double weight_ = 1; ///< relative frequency
    std::uint64_t keys_ = 1; ///< number of different keys
};

/// A team that sends requests in a load.
struct LoadTeam
{
    std::string name_;
    double rate_ = 0; ///< requests per second
    std::string key_; ///< the team's secret; empty to send requests without a key
};

/// The request kinds of a load and the teams that send them.
struct LoadProfile
{
    std::vector<LoadTeam> teams_;
    std::vector<LoadRequest> requests_;
};

/// Reads a load profile.
/// @param file path of a JSON file with teams and requests.
/// @param keyFolder folder with one file per team that contains its key; empty to use no keys.
/// @return the profile, or an Error of step ReadSettings.
leaf::result<LoadProfile> readLoadProfile(const std::string &file, const std::string &keyFolder);

} // namespace pimentostage
