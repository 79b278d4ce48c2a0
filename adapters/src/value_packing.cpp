#include "pearhaven/adapters/value_packing.hpp"

#include <zstd.h>

#include <stdexcept>

namespace pearhaven::adapters {

namespace {

// Speed matters more than size: values are packed on the event loop.
constexpr int compression_level = 1;

} // namespace

std::string pack(std::string_view bytes)
{
    std::string packed(ZSTD_compressBound(bytes.size()), '\0');
    const auto size =
        ZSTD_compress(packed.data(), packed.size(), bytes.data(), bytes.size(), compression_level);
    if (ZSTD_isError(size) != 0) {
        throw std::runtime_error(ZSTD_getErrorName(size));
    }
    packed.resize(size);
    packed.shrink_to_fit();
    return packed;
}

std::optional<std::string> unpack(std::string_view packed, std::size_t max_bytes)
{
    const auto declared = ZSTD_getFrameContentSize(packed.data(), packed.size());
    const bool is_known =
        declared != ZSTD_CONTENTSIZE_UNKNOWN && declared != ZSTD_CONTENTSIZE_ERROR;
    if (!is_known || declared > max_bytes) {
        return std::nullopt;
    }
    std::string bytes(declared, '\0');
    const auto size = ZSTD_decompress(bytes.data(), bytes.size(), packed.data(), packed.size());
    if (ZSTD_isError(size) != 0 || size != bytes.size()) {
        return std::nullopt;
    }
    return bytes;
}

} // namespace pearhaven::adapters
