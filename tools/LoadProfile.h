#pragma once

#include "pimentostage/base/Error.h"

#include <string>
#include <vector>

namespace pimentostage {

/// One kind of request that a load sends.
struct LoadRequest
{
    std::string kind_;
    std::string method_;
    std::string path_; ///< "{key}" stands for a key
    double weight_ = 1;
    std::uint64_t keys_ = 1;
};

/// One team's part of a load.
struct LoadTeam
{
    std::string name_;
    double rate_ = 0; ///< requests per second
    std::string key_; ///< the team's secret
};

/// What to send, and as whom.
struct LoadProfile
{
    std::vector<LoadTeam> teams_;
    std::vector<LoadRequest> requests_;
};

/// @param file JSON file with teams and requests.
/// @param keyFolder folder with one file for each team that holds its key.
leaf::result<LoadProfile> readLoadProfile(const std::string &file, const std::string &keyFolder);

} // namespace pimentostage
