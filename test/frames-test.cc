#include "figmilld/traffic/frames.h"

#include <doctest/doctest.h>

#include <string>

#include "figmilld/traffic/dispatch.h"

using namespace figmill;  // NOLINT(google-build-using-namespace): tests read better

TEST_CASE("frames survive any cut of the byte stream") {
  const std::string bytes = Encode(FrameHead{200, "text/event-stream", 7, 3, 1, 2, 5}) +
                            Encode(FrameData{std::string("a\0b", 3)}) + Encode(FrameEnd{3, 1, 0});
  for (std::size_t cut = 0; cut <= bytes.size(); ++cut) {
    CAPTURE(cut);
    FrameReader reader;
    std::vector<Frame> all = std::get<0>(reader.Feed(std::string_view(bytes).substr(0, cut)));
    std::vector<Frame> rest = std::get<0>(reader.Feed(std::string_view(bytes).substr(cut)));
    for (Frame& frame : rest) all.push_back(std::move(frame));
    REQUIRE(all.size() == 3);
    CHECK(std::get<FrameHead>(all[0]).incarnation == 7);
    CHECK(std::get<FrameData>(all[1]).bytes == std::string("a\0b", 3));
    CHECK(std::get<FrameEnd>(all[2]).bytes == 3);
  }
}

TEST_CASE("a malformed frame breaks the answer for good") {
  for (const std::string& bad : {std::string("Z\0\0\0\0", 5), std::string("H\0\0\0\1{", 6),
                                 std::string("D\xff\xff\xff\xff", 5)}) {
    FrameReader reader;
    CHECK_FALSE(IsOk(reader.Feed(bad)));
    CHECK_FALSE(IsOk(reader.Feed(Encode(FrameEnd{}))));
  }
}

TEST_CASE("a dispatch crosses the hop unchanged, and a bad header is named") {
  DispatchHeaders dispatch;
  dispatch.request.value = "r1";
  dispatch.incarnation = 5;
  dispatch.work = WorkClass::kBatch;
  dispatch.item.value = "job/3";
  dispatch.repeatable = false;
  dispatch.resume_from = 9;
  dispatch.owner.value = "entry-1";
  dispatch.epoch = 4;
  HttpRequest request;
  request.headers = ToHeaders(dispatch);
  const Result<DispatchHeaders> parsed = ParseDispatch(request);
  REQUIRE(IsOk(parsed));
  CHECK(ToHeaders(ValueOf(parsed)).size() == request.headers.size());
  CHECK(ValueOf(parsed).epoch == 4);
  CHECK_FALSE(ValueOf(parsed).repeatable);
  for (Header& header : request.headers) {
    if (header.name == "Figmill-Resume-From") header.value = "-1";
  }
  const Result<DispatchHeaders> bad = ParseDispatch(request);
  REQUIRE_FALSE(IsOk(bad));
  CHECK(ErrorOf(bad).detail.find("Figmill-Resume-From") != std::string::npos);
}
