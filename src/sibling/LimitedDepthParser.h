#pragma once

#include <cstddef>

#include <nlohmann/json.hpp>

namespace pimentostage {

/// Builds a JSON value that consists of nested arrays; ends the parse of any other nesting.
///
/// The library's reader of MessagePack recurses for each level, and a payload of a few bytes per
/// level would exceed the thread's stack.
class LimitedDepthParser : public nlohmann::detail::json_sax_dom_parser<nlohmann::json>
{
public:
    using Base = nlohmann::detail::json_sax_dom_parser<nlohmann::json>;
    using Base::Base;

    // NOLINTBEGIN(readability-identifier-naming): the library calls these functions.
    bool start_array(std::size_t size) { return ++depth_ <= kMaxDepth && Base::start_array(size); }

    bool end_array()
    {
        --depth_;
        return Base::end_array();
    }

    bool start_object(std::size_t) { return false; }
    // NOLINTEND(readability-identifier-naming)

private:
    static constexpr std::size_t kMaxDepth = 32;

    std::size_t depth_ = 0;
};

} // namespace pimentostage
