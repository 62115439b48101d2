#pragma once

// Requests for credits and grants of them, as elements of a peer message.

#include "figmill/quota.h"
#include "peer_messages/codec_fields.h"

namespace figmill {

void Pack(Packer& packer, const QuotaRequest& request);
void Pack(Packer& packer, const QuotaGrant& grant);
[[nodiscard]] QuotaRequest ReadQuotaRequest(const Object& object);
[[nodiscard]] QuotaGrant ReadQuotaGrant(const Object& object);

}  // namespace figmill
