#include "src/base/MessagePack.h"

#include "src/base/JsonText.h"

#include <nlohmann/json.hpp>

namespace pimentostage {

namespace {

using Json = nlohmann::json;

/// Builds a value and stops at kMaxJsonDepth, because nlohmann::json reads MessagePack by
/// recursion.
class DepthLimitedBuilder : public nlohmann::detail::json_sax_dom_parser<Json>
{
public:
    DepthLimitedBuilder(Json &result, std::size_t maxValues)
        : Base(result, false)
        , valuesLeft_(maxValues)
    { }

    // The names are those of nlohmann's SAX interface.
    // NOLINTBEGIN(readability-identifier-naming)
    bool start_array(std::size_t size)
    {
        return descend() && countValues(size) && Base::start_array(size);
    }
    bool start_object(std::size_t size)
    {
        return descend() && countValues(size) && Base::start_object(size);
    }
    bool end_array()
    {
        --depth_;
        return Base::end_array();
    }
    bool end_object()
    {
        --depth_;
        return Base::end_object();
    }
    // NOLINTEND(readability-identifier-naming)

private:
    using Base = nlohmann::detail::json_sax_dom_parser<Json>;

    bool descend() { return ++depth_ <= kMaxJsonDepth; }

    // MessagePack states the number of a container's values before them.
    bool countValues(std::size_t count)
    {
        if (count > valuesLeft_)
            return false;
        valuesLeft_ -= count;
        return true;
    }

    std::size_t valuesLeft_;
    std::size_t depth_ = 0;
};

} // namespace

std::optional<Json> parseMessagePack(const std::vector<std::uint8_t> &bytes, std::size_t maxValues)
{
    Json value;
    DepthLimitedBuilder builder(value, maxValues);
    const bool isComplete = Json::sax_parse(bytes, &builder, Json::input_format_t::msgpack, true);
    return isComplete ? std::optional(std::move(value)) : std::nullopt;
}

} // namespace pimentostage
