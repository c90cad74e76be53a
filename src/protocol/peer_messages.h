// Conversions between messages and their Cap'n Proto form. Used by encode_peer() and decode_peer() alone.
#pragma once

#include "protocol/peer.capnp.h"
#include "protocol/peer.h"

namespace beaconsill::protocol {

// Fills in everything of the message but its sender.
void write_payload(peer::Message::Builder builder, const PeerPayload& payload);
// Throws kj::Exception for a message that isn't well-formed.
PeerPayload read_payload(peer::Message::Reader reader);

}  // namespace beaconsill::protocol
