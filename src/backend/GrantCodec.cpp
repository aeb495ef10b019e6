#include "src/backend/GrantCodec.h"

#include <nlohmann/json.hpp>

namespace pimentostage {

namespace {

using Json = nlohmann::json;

Json toJson(const ServerStamp &stamp)
{
    return Json::array({ stamp.incarnation_.value_, stamp.at_.count() });
}

ServerStamp stampFrom(const Json &json)
{
    return ServerStamp { Incarnation { json.at(0).get<std::uint64_t>() },
                         Duration(json.at(1).get<Duration::rep>()) };
}

/// @return the result of @p read for the JSON in @p text, or nothing if a field is missing or
///         has the wrong type.
template <typename T, typename Read>
std::optional<T> parse(const std::string &text, Read read)
{
    const Json json = Json::parse(text, nullptr, false);
    try {
        return read(json);
    } catch (const Json::exception &) {
        return std::nullopt;
    }
}

} // namespace

std::string formatGrant(const Grant &grant)
{
    Json json { { "service", grant.service_.str() },  { "role_epoch", grant.roleEpoch_.value_ },
                { "sequence", grant.sequence_ },      { "stamp", toJson(grant.stamp_) },
                { "lease_ns", grant.lease_.count() }, { "units_digest", grant.unitsDigest_ } };
    if (grant.units_) {
        Json units = Json::object();
        for (const auto &[unit, epoch] : *grant.units_)
            units[unit.str()] = epoch.value_;
        json["units"] = std::move(units);
    }
    return json.dump();
}

std::optional<Grant> parseGrant(const std::string &text)
{
    return parse<Grant>(text, [](const Json &json) {
        Grant grant;
        grant.service_ = ServiceName(json.at("service").get<std::string>());
        grant.roleEpoch_ = Epoch { json.at("role_epoch").get<std::uint64_t>() };
        grant.sequence_ = json.at("sequence").get<std::uint64_t>();
        grant.stamp_ = stampFrom(json.at("stamp"));
        grant.lease_ = Duration(json.at("lease_ns").get<Duration::rep>());
        grant.unitsDigest_ = json.at("units_digest").get<std::uint64_t>();
        if (json.contains("units")) {
            grant.units_.emplace();
            for (const auto &item : json.at("units").items()) {
                grant.units_->emplace(UnitName(item.key()),
                                      Epoch { item.value().get<std::uint64_t>() });
            }
        }
        return grant;
    });
}

std::string formatGrantReply(const GrantReply &reply)
{
    Json draining = Json::array();
    for (const UnitName &unit : reply.draining_)
        draining.push_back(unit.str());
    return Json({ { "result", toString(reply.result_) },
                  { "stamp", toJson(reply.stamp_) },
                  { "role_epoch", reply.roleEpoch_.value_ },
                  { "sequence", reply.sequence_ },
                  { "units_digest", reply.unitsDigest_ },
                  { "draining", draining } })
        .dump();
}

std::optional<GrantReply> parseGrantReply(const std::string &text)
{
    const auto parsed
        = parse<std::optional<GrantReply>>(text, [](const Json &json) -> std::optional<GrantReply> {
              GrantReply reply;
              const auto result = fromString<GrantResult>(json.at("result").get<std::string>());
              if (!result)
                  return std::nullopt;
              reply.result_ = *result;
              reply.stamp_ = stampFrom(json.at("stamp"));
              reply.roleEpoch_ = Epoch { json.at("role_epoch").get<std::uint64_t>() };
              reply.sequence_ = json.at("sequence").get<std::uint64_t>();
              reply.unitsDigest_ = json.at("units_digest").get<std::uint64_t>();
              for (const Json &unit : json.at("draining"))
                  reply.draining_.emplace_back(unit.get<std::string>());
              return reply;
          });
    return parsed.value_or(std::nullopt);
}

} // namespace pimentostage
