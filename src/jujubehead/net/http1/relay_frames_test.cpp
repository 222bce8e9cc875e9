#include "jujubehead/net/http1/relay_frames.hpp"

#include <algorithm> // for min
#include <string>    // for string
#include <vector>    // for vector

#include <CppUTest/TestHarness.h> // for TEST
#include <rapidcheck.h>           // for check

using namespace jujubehead::net;

namespace {

std::string
Frame(const std::string& aBytes)
{
  const auto header =
    FormatRelayFrameHeader(static_cast<std::uint32_t>(aBytes.size()));
  return std::string(header.begin(), header.end()) + aBytes;
}

} // namespace

TEST_GROUP(RelayFrames){};

TEST(RelayFrames, BytesAreReadBackHoweverTheyAreCut)
{
  CHECK(rc::check([](const std::vector<std::string>& aParts, bool aIsWhole) {
    std::string sent;
    std::string expected;
    for (const std::string& part : aParts) {
      sent += part.empty() ? "" : Frame(part);
      expected += part;
    }
    sent += aIsWhole ? Frame("") : "";
    RelayFrameReader reader;
    std::string bytes;
    for (std::size_t at = 0; at < sent.size();) {
      const auto size = *rc::gen::inRange<std::size_t>(1, 9);
      reader.Put(std::string_view(sent).substr(at, size), bytes);
      at += std::min(size, sent.size() - at);
    }
    RC_ASSERT(bytes == expected);
    RC_ASSERT(reader.HasEnded() == aIsWhole);
  }));
}

TEST(RelayFrames, AnEndThatIsCutOffIsNoEnd)
{
  const std::string sent = Frame("abc") + Frame("");
  RelayFrameReader reader;
  std::string bytes;
  reader.Put(std::string_view(sent).substr(0, sent.size() - 1), bytes);
  CHECK_FALSE(reader.HasEnded());
  reader.Put(std::string_view(sent).substr(sent.size() - 1), bytes);
  CHECK(reader.HasEnded());
  STRCMP_EQUAL("abc", bytes.c_str());
}
