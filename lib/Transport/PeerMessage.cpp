#include "corianderscale/Transport/PeerMessage.h"

#include <algorithm>

namespace coriander {

namespace {

nghttp2_nv field(const std::string &name, const std::string &value)
{
    nghttp2_nv nv{};
    // nghttp2 copies name and value before the submitting call returns.
    nv.name = const_cast<std::uint8_t *>(reinterpret_cast<const std::uint8_t *>(name.data()));
    nv.value = const_cast<std::uint8_t *>(reinterpret_cast<const std::uint8_t *>(value.data()));
    nv.namelen = name.size();
    nv.valuelen = value.size();
    nv.flags = NGHTTP2_NV_FLAG_NONE;
    return nv;
}

} // namespace

std::string PeerMessage::header(const std::string &name) const
{
    const auto field = headers.find(name);
    return field == headers.end() ? std::string() : field->second;
}

std::size_t PeerMessage::bufferedBytes() const
{
    return received.size() + toSend.size();
}

void PeerMessage::finish(std::optional<std::string> reply, const TransportError &error)
{
    if (done) {
        std::exchange(done, {})(std::move(reply), error);
    }
}

std::size_t PeerMessage::copyBody(std::uint8_t *buffer, std::size_t length, bool &last)
{
    const std::size_t count = std::min(length, toSend.size() - sentBytes);
    std::copy_n(toSend.data() + sentBytes, count, buffer);
    sentBytes += count;
    last = sentBytes == toSend.size();
    return count;
}

std::vector<nghttp2_nv> headerFields(const PeerHeaders &headers)
{
    std::vector<nghttp2_nv> list;
    for (const auto &[name, value] : headers) {
        list.push_back(field(name, value));
    }
    return list;
}

} // namespace coriander
