// Converts peer messages between their C++ types and their Cap'n Proto types. Only encode_peer() and
// decode_peer() use these functions.
#pragma once

#include "protocol/peer.capnp.h"
#include "protocol/peer.h"

namespace beaconsill::protocol {

// Writes all fields of the message except the sender.
void write_payload(peer::Message::Builder builder, const PeerPayload& payload);
// Reads the payload of a message. Throws kj::Exception if the message is malformed.
PeerPayload read_payload(peer::Message::Reader reader);

}  // namespace beaconsill::protocol
