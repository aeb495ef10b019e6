#pragma once

#include "pimentostage/base/Random.h"

#include <cstddef>
#include <string>

namespace pimentostage {

/// @return @p bytes of text of which a compression saves at most a quarter; the same for each call.
inline std::string incompressibleText(std::size_t bytes)
{
    constexpr std::uint64_t kLetters = 64;
    Random random(1);
    std::string text;
    text.reserve(bytes);
    while (text.size() < bytes)
        text += static_cast<char>('0' + random.below(kLetters));
    return text;
}

} // namespace pimentostage
