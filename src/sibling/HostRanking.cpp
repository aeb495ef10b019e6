#include "pimentostage/sibling/HostRanking.h"

#include "pimentostage/base/Hash.h"

#include <algorithm>
#include <tuple>

namespace pimentostage {

std::vector<Member> rankedFor(const RoleName &role, const std::vector<Member> &members,
                              const std::vector<Member> &strongest)
{
    struct Ranked
    {
        bool isStrong_ = false;
        std::uint64_t weight_ = 0;
        const Member *member_ = nullptr;
    };
    std::vector<Ranked> ranking;
    ranking.reserve(members.size());
    for (const Member &member : members) {
        const bool isStrong
            = std::find(strongest.begin(), strongest.end(), member) != strongest.end();
        ranking.push_back({ isStrong, hash64(role.str() + '/' + member.host_.str()), &member });
    }
    std::sort(ranking.begin(), ranking.end(), [](const Ranked &a, const Ranked &b) {
        return std::tie(a.isStrong_, a.weight_) > std::tie(b.isStrong_, b.weight_);
    });
    std::vector<Member> ranked;
    ranked.reserve(members.size());
    for (const Ranked &entry : ranking)
        ranked.push_back(*entry.member_);
    return ranked;
}

} // namespace pimentostage
