#include <map>      // for map
#include <optional> // for optional
#include <random>   // for mt19937_64
#include <set>      // for set
#include <string>   // for string
#include <vector>   // for vector

#include "jujubehead/core/candidates.hpp"     // for PickCandidates
#include "jujubehead/core/context_import.hpp" // for CheckImport
#include "jujubehead/core/directory.hpp"      // for Directory
#include "jujubehead/core/router.hpp"         // for RankRoutes

// Last: its macros change the meaning of new.
#include <CppUTest/TestHarness.h> // for TEST

using namespace jujubehead::core;

namespace {

constexpr std::size_t kBlock = 4;
constexpr std::size_t kTargets = 3;
constexpr std::size_t kTargetBlocks = 12;
constexpr std::size_t kStoreCopies = 5;
constexpr std::size_t kMaxKeys = 40;

struct Prompt
{
  ContextScope scope;
  std::string text;
};

/// What a block adds to the engine's state: all that came before it goes in.
std::string
Digest(const std::string& aState, const std::string& aText)
{
  return std::to_string(std::hash<std::string>{}(aState + '|' + aText));
}

std::string
Start(const ContextScope& aScope)
{
  return aScope.account.Text() + '/' + aScope.version;
}

/// The naive version: computes the whole prompt, keeps nothing.
std::string
NaiveAnswer(const Prompt& aPrompt)
{
  std::string state = Start(aPrompt.scope);
  std::string rest = aPrompt.text;
  while (rest.size() >= kBlock) {
    state = Digest(state, rest.substr(0, kBlock));
    rest.erase(0, kBlock);
  }
  return Digest(state, rest);
}

/// An engine whose answer depends on the blocks that it reads, right or wrong.
struct FakeEngine
{
  std::map<ContextKey, std::string> blocks;

  std::string Answer(const Prompt& aPrompt,
                     const std::vector<ContextKey>& aKeys,
                     std::size_t& aComputed)
  {
    std::string state = Start(aPrompt.scope);
    for (std::size_t i = 0; i < aKeys.size(); ++i) {
      const auto found = blocks.find(aKeys[i]);
      if (found == blocks.end()) {
        ++aComputed;
        state = Digest(state, aPrompt.text.substr(i * kBlock, kBlock));
      } else {
        state = found->second;
      }
      blocks[aKeys[i]] = state;
    }
    return Digest(state, aPrompt.text.substr(aKeys.size() * kBlock));
  }
};

struct FakeCopy
{
  CopyState header;
  std::vector<std::string> blocks;
};

/// The decisions of core over engines and a store that forget and lie at
/// random, as late events and crashes make them.
class System
{
public:
  explicit System(std::uint64_t aSeed)
    : m_random(aSeed)
    , m_directory(kMaxKeys)
    , m_engines(kTargets)
  {
    for (std::size_t i = 0; i < kTargets; ++i) {
      m_targets.emplace_back(std::to_string(i));
    }
  }

  std::string Serve(const Prompt& aPrompt)
  {
    const auto keys = ChainKeys(aPrompt.scope, aPrompt.text, kBlock);
    if (keys.empty()) {
      return NaiveAnswer(aPrompt);
    }
    const auto hints = m_directory.Lookup(keys);
    const RoutePlan plan = Plan(keys, hints);
    FakeEngine& engine = m_engines[std::stoul(plan.target.Text())];
    if (plan.import) {
      Import(engine, aPrompt, keys, *plan.import);
    }
    std::string answer = engine.Answer(aPrompt, keys, m_computed);
    m_asked += keys.size();
    m_directory.Learn(plan.target, keys);
    Export(engine, aPrompt, keys);
    return answer;
  }

  void Disturb()
  {
    FakeEngine& engine = m_engines[m_random() % kTargets];
    switch (m_random() % 5) {
      case 0: // A crash, of which no event tells.
        engine.blocks.clear();
        return;
      case 1: // An eviction whose event is lost.
        if (engine.blocks.size() > kTargetBlocks) {
          engine.blocks.erase(engine.blocks.begin());
        }
        return;
      case 2: // A copy is freed; its hint stays.
        if (!m_copies.empty()) {
          m_copies.erase(m_copies.begin());
        }
        return;
      case 3: // A copy is written anew, and is not committed yet.
        if (!m_copies.empty()) {
          m_copies.begin()->second.header.committed = false;
          m_copies.begin()->second.blocks.front() = "half-written";
        }
        return;
      default: // The slice of the directory moves to another instance.
        m_directory = Directory(kMaxKeys);
        return;
    }
  }

  [[nodiscard]] double ComputedShare() const
  {
    return static_cast<double>(m_computed) / static_cast<double>(m_asked);
  }

private:
  RoutePlan Plan(const std::vector<ContextKey>& aKeys,
                 const std::vector<PrefixHint>& aHints)
  {
    std::vector<TargetView> views;
    for (const TargetId& target :
         PickCandidates(aHints, aKeys.front(), m_targets, m_random())) {
      TargetView view;
      view.target = target;
      view.admits = true;
      view.prefill_tokens_per_second = 1;
      view.expected_wait = std::chrono::seconds(m_random() % 4);
      for (const PrefixHint& hint : aHints) {
        if (hint.holder == Holder(target)) {
          view.cached_blocks = hint.blocks;
        }
      }
      views.push_back(view);
    }
    std::vector<StoredCopy> copies;
    for (const PrefixHint& hint : aHints) {
      if (hint.copy) {
        StoredCopy copy;
        copy.handle = hint.copy->handle;
        copy.generation = hint.copy->generation;
        copy.blocks = hint.blocks;
        copy.bytes_per_second = 100;
        copy.bytes_per_block = 1;
        copies.push_back(copy);
      }
    }
    const auto blocks = static_cast<std::uint32_t>(aKeys.size());
    return RankRoutes({ blocks, 1, 0, 0, {} }, views, copies).front();
  }

  void Import(FakeEngine& aEngine,
              const Prompt& aPrompt,
              const std::vector<ContextKey>& aKeys,
              const StoredCopy& aChosen)
  {
    const auto found = m_copies.find(aChosen.handle);
    if (found == m_copies.end()) {
      return;
    }
    const auto ticket =
      ChooseImport(found->second.header, Salt(aPrompt.scope), aKeys);
    if (m_random() % 4 == 0) {
      Disturb();
    }
    const auto now = m_copies.find(aChosen.handle);
    if (!ticket || now == m_copies.end() ||
        CheckImport(*ticket, now->second.header) != ImportVerdict::kAccept) {
      return;
    }
    for (std::size_t i = 0; i < ticket->keys.size(); ++i) {
      aEngine.blocks.try_emplace(ticket->keys[i], now->second.blocks[i]);
    }
  }

  void Export(const FakeEngine& aEngine,
              const Prompt& aPrompt,
              const std::vector<ContextKey>& aKeys)
  {
    if (m_copies.size() >= kStoreCopies) {
      m_copies.erase(m_copies.begin());
    }
    const CopyId name{ HandleOf(aKeys), m_generations.Next() };
    FakeCopy copy{
      { name, true, Salt(aPrompt.scope), aKeys, aKeys.size(), aKeys.size() }, {}
    };
    for (const ContextKey& key : aKeys) {
      copy.blocks.push_back(aEngine.blocks.at(key));
    }
    m_copies[name.handle] = copy;
    m_directory.Apply(StoreId("s"),
                      { ++m_sequence, CacheEventKind::kStored, aKeys, name });
  }

  std::mt19937_64 m_random;
  Directory m_directory;
  std::vector<FakeEngine> m_engines;
  std::vector<TargetId> m_targets;
  std::map<std::string, FakeCopy> m_copies;
  GenerationSource m_generations{ 1 };
  std::uint64_t m_sequence = 0;
  std::size_t m_computed = 0;
  std::size_t m_asked = 0;
};

Prompt
DrawPrompt(std::mt19937_64& aRandom)
{
  Prompt prompt;
  prompt.scope.account = AccountId(aRandom() % 2 == 0 ? "left" : "right");
  prompt.scope.model = ModelId("m");
  prompt.scope.version = aRandom() % 8 == 0 ? "2" : "1";
  const std::size_t length = aRandom() % 30;
  const bool other = aRandom() % 2 == 0;
  for (std::size_t i = 0; i < length; ++i) {
    prompt.text += other && i > 8 ? 'b' : 'a';
  }
  return prompt;
}

} // namespace

TEST_GROUP(ContextDifferential){};

TEST(ContextDifferential, EveryAnswerIsTheNaiveOneWhateverHappens)
{
  constexpr std::uint64_t kSeeds = 200;
  constexpr int kRequests = 200;
  double computed = 0;
  for (std::uint64_t seed = 0; seed < kSeeds; ++seed) {
    std::mt19937_64 random(seed);
    System system(seed);
    for (int i = 0; i < kRequests; ++i) {
      const Prompt prompt = DrawPrompt(random);
      CHECK_EQUAL(NaiveAnswer(prompt), system.Serve(prompt));
      if (random() % 3 == 0) {
        system.Disturb();
      }
    }
    computed += system.ComputedShare() / kSeeds;
  }
  // Otherwise nothing was reused and the test would show nothing.
  CHECK(computed < 0.5);
}
