#include "src/base/Deflate.h"

#include <boost/beast/zlib/deflate_stream.hpp>
#include <boost/beast/zlib/inflate_stream.hpp>

namespace pimentostage {

namespace {

namespace zlib = boost::beast::zlib;
using boost::system::error_code;

constexpr int kFastLevel = 1;
constexpr int kWindowBits = 15;
constexpr int kMemoryLevel = 8; // zlib's default

} // namespace

std::vector<std::uint8_t> deflate(const std::uint8_t *data, std::size_t size)
{
    zlib::deflate_stream stream;
    stream.reset(kFastLevel, kWindowBits, kMemoryLevel, zlib::Strategy::normal);
    std::vector<std::uint8_t> out(stream.upper_bound(size));
    zlib::z_params params {};
    params.next_in = data;
    params.avail_in = size;
    params.next_out = out.data();
    params.avail_out = out.size();
    // With room for upper_bound() bytes, one call writes all of the output.
    error_code end;
    stream.write(params, zlib::Flush::finish, end);
    out.resize(params.total_out);
    return out;
}

std::optional<std::vector<std::uint8_t>> inflate(const std::uint8_t *data, std::size_t size,
                                                 std::size_t inflatedSize)
{
    std::vector<std::uint8_t> out(inflatedSize);
    zlib::inflate_stream stream;
    stream.reset(kWindowBits);
    zlib::z_params params {};
    params.next_in = data;
    params.avail_in = size;
    params.next_out = out.data();
    params.avail_out = out.size();
    error_code error;
    stream.write(params, zlib::Flush::finish, error);
    const bool isWhole = error == zlib::error::end_of_stream && params.avail_in == 0
                         && params.total_out == inflatedSize;
    return isWhole ? std::optional(std::move(out)) : std::nullopt;
}

} // namespace pimentostage
