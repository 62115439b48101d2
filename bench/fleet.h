#pragma once

// The fleet that the bench loads, as support/local-fleet describes it.

#include <string>
#include <string_view>
#include <vector>

#include "figmill/base.h"

namespace figmill::bench {

struct Fleet {
  std::vector<Address> entries;
  std::vector<Address> engines;
  std::vector<std::string> models;
};

// Reads fleet.json. Errors: kNotFound, kBadRequest.
[[nodiscard]] Result<Fleet> LoadFleet(const std::string& path);

}  // namespace figmill::bench
