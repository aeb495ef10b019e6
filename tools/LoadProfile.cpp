#include "tools/LoadProfile.h"

#include <fstream>

#include <nlohmann/json.hpp>

namespace pimentostage {

namespace {

std::string firstLine(const std::string &file)
{
    std::ifstream in(file);
    std::string line;
    std::getline(in, line);
    return line;
}

LoadTeam readTeam(const nlohmann::json &json, const std::string &keyFolder)
{
    LoadTeam team;
    team.name_ = json.at("name").get<std::string>();
    team.rate_ = json.at("rate_per_second").get<double>();
    if (!keyFolder.empty())
        team.key_ = firstLine(keyFolder + '/' + team.name_);
    return team;
}

LoadRequest readRequest(const nlohmann::json &json)
{
    LoadRequest request;
    request.kind_ = json.at("kind").get<std::string>();
    request.method_ = json.at("method").get<std::string>();
    request.path_ = json.at("path").get<std::string>();
    request.weight_ = json.at("weight").get<double>();
    request.keys_ = json.at("keys").get<std::uint64_t>();
    return request;
}

} // namespace

leaf::result<LoadProfile> readLoadProfile(const std::string &file, const std::string &keyFolder)
{
    try {
        std::ifstream in(file);
        const nlohmann::json json = nlohmann::json::parse(in);
        LoadProfile profile;
        for (const auto &item : json.at("teams"))
            profile.teams_.push_back(readTeam(item, keyFolder));
        for (const auto &item : json.at("requests"))
            profile.requests_.push_back(readRequest(item));
        return profile;
    } catch (const nlohmann::json::exception &failure) {
        return fail(Error { Step::ReadSettings, Peer { PeerKind::Operator, file },
                            ErrorCode::Malformed, failure.what() });
    }
}

} // namespace pimentostage
