#include "pimentostage/sibling/HostRanking.h"

#include "pimentostage/base/Hash.h"

#include <algorithm>
#include <tuple>

namespace pimentostage {

std::vector<Member> rankedFor(const RoleName &role, const std::vector<Member> &members,
                              const std::vector<Member> &preferred)
{
    struct Ranked
    {
        bool isPreferred_ = false;
        std::uint64_t weight_ = 0;
        const Member *member_ = nullptr;
    };
    std::vector<Ranked> ranking;
    ranking.reserve(members.size());
    for (const Member &member : members) {
        const bool isPreferred
            = std::find(preferred.begin(), preferred.end(), member) != preferred.end();
        ranking.push_back({ isPreferred, hash64(role.str() + '/' + member.host_.str()), &member });
    }
    std::sort(ranking.begin(), ranking.end(), [](const Ranked &a, const Ranked &b) {
        return std::tie(a.isPreferred_, a.weight_) > std::tie(b.isPreferred_, b.weight_);
    });
    std::vector<Member> ranked;
    ranked.reserve(members.size());
    for (const Ranked &entry : ranking)
        ranked.push_back(*entry.member_);
    return ranked;
}

} // namespace pimentostage
