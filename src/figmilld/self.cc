#include "figmill/runtime.h"
#include "figmilld/process.h"

namespace figmill {

Member SelfAsMember(const Settings& settings) {
  Member self;
  self.node = settings.common.node;
  self.role = settings.role;
  self.incarnation = static_cast<Incarnation>(Loop::WallNow().time_since_epoch().count());
  self.data_centre = settings.common.data_centre;
  self.http = settings.common.http;
  self.gossip = settings.common.gossip;
  return self;
}

}  // namespace figmill
