#include "jujubehead/core/context_import.hpp"

#include <array>    // for array
#include <map>      // for map
#include <optional> // for optional
#include <random>   // for mt19937_64
#include <set>      // for set

#include <rapidcheck.h> // for rc::check

// Last: its macros change the meaning of new.
#include <CppUTest/TestHarness.h> // for TEST

using namespace jujubehead::core;

namespace {

/// The check that a simulation omits, to show that the others don't cover it.
enum class Omitted
{
  kNothing,
  kGeneration, ///< Ignores the generation of a handle.
  kCommit,     ///< Reads partly written copies.
  kBlocks,     ///< Doesn't compare scope and blocks.
  kVersion,    ///< Leaves the weight version out of the keys.
  kAccount,    ///< Leaves the client account out of the keys.
};

constexpr std::size_t kBlock = 2;
constexpr std::array<const char*, 2> kTexts{ "aabbcc", "aabbdd" };
constexpr std::array<const char*, 2> kAccounts{ "left", "right" };

/// Content of a computed block: depends on all text before its end, the account
/// and the weight version.
std::string
Compute(const ContextScope& aScope, std::string_view aText, std::size_t aBlock)
{
  return aScope.account.Text() + '/' + aScope.version + '/' +
         std::string(aText.substr(0, (aBlock + 1) * kBlock));
}

struct Prompt
{
  ContextScope scope;
  std::string text;
};

/// An engine and a store with few slots and few handles, so that both are
/// reused soon.
class Simulation
{
public:
  explicit Simulation(Omitted aOmitted)
    : m_omitted(aOmitted)
  {
  }

  /// @return whether every response so far used its own blocks only.
  [[nodiscard]] bool IsSafe() const { return m_safe; }

  void Step(std::uint32_t aCommand)
  {
    const Prompt prompt = PromptOf(aCommand >> 8U);
    const std::size_t handle = (aCommand >> 4U) % kHandles;
    // Most steps are writes, so that copies are replaced during reads.
    switch (aCommand % 16) {
      case 0:
        return Run(prompt);
      case 1:
      case 2:
        return Begin(handle, prompt);
      case 3:
        return Commit(handle);
      case 4:
        return Free(handle);
      case 5:
        return Choose(handle, prompt);
      case 6:
        return ReadOne();
      case 7:
        return Use();
      case 8:
        return InjectFault(aCommand >> 4U);
      default:
        return Write(handle);
    }
  }

private:
  static constexpr std::size_t kHandles = 2;
  static constexpr std::size_t kSlots = 7;

  struct StoredCopy
  {
    CopyState header;
    std::vector<std::size_t> slots;
    std::vector<std::string> to_write;
  };

  struct Import
  {
    Prompt prompt;
    ImportTicket ticket;
    std::vector<std::size_t> slots;
    std::vector<std::string> read;
  };

  [[nodiscard]] Prompt PromptOf(std::uint32_t aChoice) const
  {
    return { { AccountId(kAccounts[aChoice % kAccounts.size()]),
               ModelId("m"),
               m_version,
               "" },
             kTexts[aChoice / 2 % kTexts.size()] };
  }

  [[nodiscard]] ContextScope NamedScope(const Prompt& aPrompt) const
  {
    ContextScope scope = aPrompt.scope;
    if (m_omitted == Omitted::kVersion) {
      scope.version.clear();
    }
    if (m_omitted == Omitted::kAccount) {
      scope.account = AccountId();
    }
    return scope;
  }

  [[nodiscard]] std::vector<ContextKey> KeysOf(const Prompt& aPrompt) const
  {
    return ChainKeys(NamedScope(aPrompt), aPrompt.text, kBlock);
  }

  /// Runs a prompt from the engine's own cache, computing missing blocks.
  void Run(const Prompt& aPrompt)
  {
    const auto keys = KeysOf(aPrompt);
    for (std::size_t i = 0; i < keys.size(); ++i) {
      const auto expected = Compute(aPrompt.scope, aPrompt.text, i);
      m_safe = m_safe &&
               m_cache.try_emplace(keys[i], expected).first->second == expected;
    }
  }

  void Begin(std::size_t aHandle, const Prompt& aPrompt)
  {
    const auto keys = KeysOf(aPrompt);
    if (m_copies.contains(aHandle) || !m_cache.contains(keys.back())) {
      return;
    }
    StoredCopy copy;
    copy.header = { NameOf(aHandle, m_generations.Next()),
                    false,
                    Salt(NamedScope(aPrompt)),
                    keys,
                    keys.size(),
                    0 };
    for (const ContextKey& key : keys) {
      copy.to_write.push_back(m_cache[key]);
      copy.slots.push_back(m_next_slot++ % kSlots);
    }
    for (const std::size_t slot : copy.slots) {
      DropUsersOf(slot);
    }
    m_copies[aHandle] = copy;
  }

  void Write(std::size_t aHandle)
  {
    const auto found = m_copies.find(aHandle);
    if (found == m_copies.end()) {
      return;
    }
    StoredCopy& copy = found->second;
    const auto done = copy.header.bytes_read;
    if (done < copy.to_write.size()) {
      m_slots[copy.slots[done]] = copy.to_write[done];
      ++copy.header.bytes_read;
    }
  }

  void Commit(std::size_t aHandle)
  {
    const auto found = m_copies.find(aHandle);
    if (found != m_copies.end() &&
        found->second.header.bytes_read == found->second.header.bytes) {
      found->second.header.committed = true;
    }
  }

  void Free(std::size_t aHandle) { m_copies.erase(aHandle); }

  /// Reusing a slot frees the copies that it belonged to.
  void DropUsersOf(std::size_t aSlot)
  {
    std::erase_if(m_copies, [aSlot](const auto& aEntry) {
      const auto& slots = aEntry.second.slots;
      return std::find(slots.begin(), slots.end(), aSlot) != slots.end();
    });
  }

  void Choose(std::size_t aHandle, const Prompt& aPrompt)
  {
    const auto found = m_copies.find(aHandle);
    if (found == m_copies.end() || m_import) {
      return;
    }
    const auto keys = KeysOf(aPrompt);
    const std::string salt = Salt(NamedScope(aPrompt));
    const ImportTicket wanted{ found->second.header.copy, salt, keys };
    const auto ticket =
      ChooseImport(Reading(found->second, wanted), salt, keys);
    if (ticket) {
      m_import = Import{ aPrompt, *ticket, found->second.slots, {} };
    }
  }

  void ReadOne()
  {
    if (m_import && m_import->read.size() < m_import->ticket.keys.size()) {
      m_import->read.push_back(m_slots[m_import->slots[m_import->read.size()]]);
    }
  }

  /// The last step of an import: the check, then the response.
  void Use()
  {
    if (!m_import || m_import->read.size() < m_import->ticket.keys.size()) {
      return;
    }
    const Import import = *m_import;
    m_import.reset();
    if (!IsValidImport(import)) {
      return;
    }
    for (std::size_t i = 0; i < import.read.size(); ++i) {
      const auto expected = Compute(import.prompt.scope, import.prompt.text, i);
      m_safe = m_safe && import.read[i] == expected;
    }
  }

  [[nodiscard]] bool IsValidImport(const Import& aImport) const
  {
    for (const auto& [handle, copy] : m_copies) {
      if (copy.header.copy.handle == aImport.ticket.copy.handle) {
        return CheckImport(aImport.ticket, Reading(copy, aImport.ticket)) ==
               ImportVerdict::kAccept;
      }
    }
    return false;
  }

  /// The store's report, changed to pass the check that is omitted.
  [[nodiscard]] CopyState Reading(const StoredCopy& aCopy,
                                  const ImportTicket& aTicket) const
  {
    CopyState reading = aCopy.header;
    if (m_omitted == Omitted::kGeneration) {
      reading.copy = aTicket.copy;
    }
    if (m_omitted == Omitted::kCommit) {
      reading.committed = true;
      reading.bytes_read = reading.bytes;
    }
    if (m_omitted == Omitted::kBlocks) {
      reading.salt = aTicket.salt;
      reading.keys = aTicket.keys;
    }
    return reading;
  }

  void InjectFault(std::uint32_t aChoice)
  {
    switch (aChoice % 4) {
      case 0: // A store crash keeps committed copies only.
        std::erase_if(m_copies, [](const auto& aEntry) {
          return !aEntry.second.header.committed;
        });
        return;
      case 1: // An engine crash ends its import.
        m_cache.clear();
        m_import.reset();
        return;
      case 2: // New weights; a running import keeps the old version.
        m_version = m_version == "1" ? "2" : "1";
        return;
      default: // The store's owner changes.
        m_generations = GenerationSource(++m_epoch);
        return;
    }
  }

  static CopyId NameOf(std::size_t aHandle, std::uint64_t aGeneration)
  {
    return { "handle-" + std::to_string(aHandle), aGeneration };
  }

  Omitted m_omitted;
  bool m_safe = true;
  std::string m_version = "1";
  std::uint32_t m_epoch = 1;
  GenerationSource m_generations{ 1 };
  std::map<ContextKey, std::string> m_cache;
  std::map<std::size_t, StoredCopy> m_copies;
  std::array<std::string, kSlots> m_slots;
  std::size_t m_next_slot = 0;
  std::optional<Import> m_import;
};

bool
RunIsSafe(Omitted aOmitted, const std::vector<std::uint32_t>& aCommands)
{
  Simulation simulation(aOmitted);
  for (const std::uint32_t command : aCommands) {
    simulation.Step(command);
  }
  return simulation.IsSafe();
}

std::vector<std::uint32_t>
Commands(std::uint64_t aSeed)
{
  constexpr std::size_t kLength = 300;
  std::mt19937_64 random(aSeed);
  std::vector<std::uint32_t> commands(kLength);
  for (std::uint32_t& command : commands) {
    command = static_cast<std::uint32_t>(random());
  }
  return commands;
}

constexpr std::uint64_t kMaxSchedules = 10000;

/// Runs random schedules until one shows the fault.
bool
IsDetected(Omitted aOmitted)
{
  for (std::uint64_t seed = 0; seed < kMaxSchedules; ++seed) {
    if (!RunIsSafe(aOmitted, Commands(seed))) {
      return true;
    }
  }
  return false;
}

} // namespace

TEST_GROUP(ContextImport){};

TEST(ContextImport, NoInterleavingUsesAWrongBlock)
{
  CHECK(rc::check([](std::uint64_t aSeed) {
    RC_ASSERT(RunIsSafe(Omitted::kNothing, Commands(aSeed)));
  }));
  for (std::uint64_t seed = 0; seed < kMaxSchedules; ++seed) {
    CHECK(RunIsSafe(Omitted::kNothing, Commands(seed)));
  }
}

TEST(ContextImport, OmittingTheGenerationCheckIsDetected)
{
  CHECK(IsDetected(Omitted::kGeneration));
}

TEST(ContextImport, OmittingTheCommitCheckIsDetected)
{
  CHECK(IsDetected(Omitted::kCommit));
}

TEST(ContextImport, OmittingTheScopeAndBlockCheckIsDetected)
{
  CHECK(IsDetected(Omitted::kBlocks));
}

TEST(ContextImport, KeysWithoutTheVersionAreDetected)
{
  CHECK(IsDetected(Omitted::kVersion));
}

TEST(ContextImport, KeysWithoutTheAccountAreDetected)
{
  CHECK(IsDetected(Omitted::kAccount));
}

TEST(ContextImport, GenerationsOfTwoOwnersNeverCollide)
{
  std::set<std::uint64_t> seen;
  for (std::uint32_t epoch = 1; epoch <= 3; ++epoch) {
    GenerationSource source(epoch);
    for (int i = 0; i < 100; ++i) {
      CHECK(seen.insert(source.Next()).second);
    }
  }
}

TEST(ContextImport, AnUncommittedCopyIsNotChosen)
{
  const ContextScope scope{ AccountId("a"), ModelId("m"), "1", "" };
  const auto keys = ChainKeys(scope, "aabbcc", kBlock);
  CopyState reading{ { "h", 7 }, false, Salt(scope), keys, 3, 0 };
  CHECK(!ChooseImport(reading, Salt(scope), keys));
  reading.committed = true;
  CHECK(!ChooseImport(reading, "other", keys));
  const auto longer = ChainKeys(scope, "aabbccdd", kBlock);
  const auto ticket = ChooseImport(reading, Salt(scope), longer);
  CHECK(ticket.has_value());
  CHECK_EQUAL(3, ticket->keys.size());
}

TEST(ContextImport, EachMismatchHasItsVerdict)
{
  const ContextScope scope{ AccountId("a"), ModelId("m"), "1", "" };
  const auto keys = ChainKeys(scope, "aabbcc", kBlock);
  const ImportTicket ticket{ { HandleOf(keys), 7 }, Salt(scope), keys };
  const CopyState matching{ ticket.copy, true, ticket.salt, keys, 3, 3 };
  const auto verdict = [&](auto aChange) {
    CopyState reading = matching;
    aChange(reading);
    return CheckImport(ticket, reading);
  };
  using Reading = CopyState;
  CHECK(verdict([](Reading&) {}) == ImportVerdict::kAccept);
  CHECK(verdict([](Reading& aRead) { aRead.copy.generation = 8; }) ==
        ImportVerdict::kOtherGeneration);
  CHECK(verdict([](Reading& aRead) { aRead.committed = false; }) ==
        ImportVerdict::kUncommitted);
  CHECK(verdict([](Reading& aRead) { aRead.salt = "x"; }) ==
        ImportVerdict::kOtherScope);
  CHECK(verdict([](Reading& aRead) { aRead.keys.pop_back(); }) ==
        ImportVerdict::kOtherBlocks);
  CHECK(verdict([](Reading& aRead) { aRead.bytes_read = 2; }) ==
        ImportVerdict::kTruncated);
}
