#pragma once

#include "pimentostage/base/Ids.h"

#include <vector>

namespace pimentostage {

/// @return @p members, ordered by descending preference for @p role. Members that are also in
///         @p preferred come first; within both groups the order depends on a hash of the role and
///         the host.
std::vector<Member> rankedFor(const RoleName &role, const std::vector<Member> &members,
                              const std::vector<Member> &preferred = {});

} // namespace pimentostage
