#include "standin/answer.hpp"

#include <algorithm> // for min
#include <array>     // for array

namespace jujubehead::standin {
namespace {

constexpr std::uint64_t kFnvBasis = 0xcbf29ce484222325ULL;
constexpr std::uint64_t kFnvPrime = 0x100000001b3ULL;
constexpr std::size_t kShortestAnswer = 16;
constexpr std::size_t kNaturalLengths = 48;

constexpr std::array<std::string_view, 16> kWords{
  " rice",  " milk", " lentils", " tea",   " salt",  " onion",
  " curd",  " oil",  " flour",   " sugar", " beans", " ghee",
  " chili", " egg",  " coconut", " fish",
};

std::uint64_t
Hash(std::string_view aText, std::uint64_t aStart)
{
  std::uint64_t hash = aStart;
  for (const char letter : aText) {
    hash ^= static_cast<unsigned char>(letter);
    hash *= kFnvPrime;
  }
  return (hash ^ aText.size()) * kFnvPrime;
}

// Spreads neighbouring inputs over all bits (the finaliser of SplitMix64).
std::uint64_t
Mix(std::uint64_t aValue)
{
  aValue = (aValue ^ (aValue >> 30U)) * 0xbf58476d1ce4e5b9ULL;
  aValue = (aValue ^ (aValue >> 27U)) * 0x94d049bb133111ebULL;
  return aValue ^ (aValue >> 31U);
}

std::uint64_t
HashInput(const AnswerInput& aInput)
{
  std::uint64_t hash = Hash(aInput.prompt, kFnvBasis);
  hash = Hash(aInput.version, hash);
  hash = Hash(aInput.adapter, hash);
  return Mix(hash ^ static_cast<std::uint64_t>(aInput.seed));
}

std::string
TokenAt(std::uint64_t aHash, std::size_t aIndex)
{
  const std::uint64_t value = Mix(aHash + aIndex);
  return std::string(kWords.at(value % kWords.size())) +
         std::to_string((value >> 8U) % 1000U);
}

// Cuts the answer before the first stop text; returns whether there was one.
bool
CutAtStop(std::vector<std::string>& aTokens,
          const std::vector<std::string>& aStops)
{
  std::string text;
  for (const std::string& token : aTokens) {
    text += token;
  }
  std::size_t end = std::string::npos;
  for (const std::string& stop : aStops) {
    end = stop.empty() ? end : std::min(end, text.find(stop));
  }
  if (end == std::string::npos) {
    return false;
  }
  std::size_t kept = 0;
  for (std::size_t i = 0; i < aTokens.size(); ++i) {
    if (kept + aTokens[i].size() > end) {
      aTokens[i].resize(end - kept);
      aTokens.resize(aTokens[i].empty() ? i : i + 1);
      break;
    }
    kept += aTokens[i].size();
  }
  return true;
}

} // namespace

Answer
MakeAnswer(const AnswerInput& aInput)
{
  const std::uint64_t hash = HashInput(aInput);
  const std::size_t natural = kShortestAnswer + hash % kNaturalLengths;
  const std::size_t length =
    std::min(aInput.max_tokens.value_or(natural), kMaxAnswerTokens);
  Answer answer;
  answer.tokens.reserve(length);
  for (std::size_t i = 0; i < length; ++i) {
    answer.tokens.push_back(TokenAt(hash, i));
  }
  const bool stopped = CutAtStop(answer.tokens, aInput.stop);
  answer.finish_reason =
    stopped || !aInput.max_tokens.has_value() ? "stop" : "length";
  return answer;
}

} // namespace jujubehead::standin
