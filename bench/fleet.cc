#include "bench/fleet.h"

#include <fstream>
#include <nlohmann/json.hpp>

namespace figmill::bench {
namespace {

using nlohmann::json;

std::vector<Address> AddressesIn(const json& processes) {
  std::vector<Address> addresses;
  for (const json& process : processes) {
    const Result<Address> address = ParseAddress(process.at("address").get<std::string>());
    if (IsOk(address)) addresses.push_back(ValueOf(address));
  }
  return addresses;
}

}  // namespace

Result<Fleet> LoadFleet(const std::string& path) {
  std::ifstream file(path);
  if (!file) return Error{ErrorKind::kNotFound, "can't read " + path};
  try {
    const json document = json::parse(file);
    Fleet fleet;
    fleet.entries = AddressesIn(document.at("entries"));
    fleet.engines = AddressesIn(document.at("engines"));
    fleet.models = document.at("models").get<std::vector<std::string>>();
    if (fleet.entries.empty() || fleet.engines.empty() || fleet.models.empty()) {
      return Error{ErrorKind::kBadRequest, path + " names no entries, engines or models"};
    }
    return fleet;
  } catch (const json::exception& failure) {
    return Error{ErrorKind::kBadRequest, path + ": " + failure.what()};
  }
}

}  // namespace figmill::bench
