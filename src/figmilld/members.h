#pragma once

// Finds agents through the platform's host list and asks each what it is.

#include <map>
#include <memory>
#include <vector>

#include "figmill/control.h"
#include "figmill/runtime.h"

namespace figmill {

class Members {
 public:
  Members(Loop& loop, HttpClient& client, HostList& hosts);
  [[nodiscard]] const std::vector<Member>& agents() const { return agents_; }
  [[nodiscard]] const std::vector<Member>& entries() const { return entries_; }

 private:
  void Refresh();
  void Ask(const ListedHost& host);
  void AskEntry(const ListedHost& host);

  HttpClient& client_;
  HostList& hosts_;
  std::vector<Member> agents_;
  std::vector<Member> entries_;
  Timer timer_;
};

}  // namespace figmill
