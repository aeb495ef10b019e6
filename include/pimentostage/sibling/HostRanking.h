#pragma once

#include "pimentostage/base/Ids.h"

#include <vector>

namespace pimentostage {

/// @return @p members in the order in which they are preferred for @p role: first those that are
///         also in @p strongest.
std::vector<Member> rankedFor(const RoleName &role, const std::vector<Member> &members,
                              const std::vector<Member> &strongest = {});

} // namespace pimentostage
