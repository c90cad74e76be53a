#include "protocol/peer.h"

#include <capnp/message.h>
#include <capnp/serialize.h>

#include <cstring>

#include "protocol/peer_messages.h"

namespace beaconsill::protocol {

std::string encode_peer(const PeerMessage& message) {
  capnp::MallocMessageBuilder builder;
  auto root = builder.initRoot<peer::Message>();
  root.setFrom(message.from.value());
  write_payload(root, message.payload);
  auto words = capnp::messageToFlatArray(builder);
  auto bytes = words.asBytes();
  // NOLINTNEXTLINE(cppcoreguidelines-pro-type-reinterpret-cast): Cap'n Proto uses unsigned bytes.
  return {reinterpret_cast<const char*>(bytes.begin()), bytes.size()};
}

std::optional<PeerMessage> decode_peer(std::string_view bytes) {
  if (bytes.size() % sizeof(capnp::word) != 0) return std::nullopt;
  auto words = kj::heapArray<capnp::word>(bytes.size() / sizeof(capnp::word));
  std::memcpy(words.begin(), bytes.data(), bytes.size());
  try {
    capnp::FlatArrayMessageReader reader(words);
    auto root = reader.getRoot<peer::Message>();
    const auto from = root.getFrom();
    return PeerMessage{ControllerName(std::string(from.cStr(), from.size())), read_payload(root)};
  } catch (const kj::Exception&) {
    return std::nullopt;
  }
}

}  // namespace beaconsill::protocol
