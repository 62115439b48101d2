#pragma once

// Records of streams' sources, and questions about them, as an element of a peer message.

#include "figmill/stream_sources.h"
#include "peer_messages/codec_fields.h"

namespace figmill {

void Pack(Packer& packer, const StreamMessage& message);
[[nodiscard]] StreamMessage ReadStreamMessage(const Object& object);

}  // namespace figmill
