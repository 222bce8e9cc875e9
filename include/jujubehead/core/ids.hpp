#ifndef JUJUBEHEAD_CORE_IDS_HPP
#define JUJUBEHEAD_CORE_IDS_HPP

#include <compare>     // for strong_ordering
#include <cstddef>     // for size_t
#include <functional>  // for hash
#include <string>      // for string
#include <string_view> // for string_view
#include <utility>     // for move

namespace jujubehead::core {

/// @brief A strongly typed name: names of different kinds do not convert.
/// @tparam Kind tag type.
template<typename Kind>
class Id
{
public:
  Id() = default;
  explicit Id(std::string aText)
    : m_text(std::move(aText))
  {
  }

  [[nodiscard]] const std::string& Text() const { return m_text; }
  [[nodiscard]] std::string_view View() const { return m_text; }
  [[nodiscard]] bool IsEmpty() const { return m_text.empty(); }

  friend bool operator==(const Id&, const Id&) = default;
  // NOLINTNEXTLINE(modernize-use-nullptr)
  friend auto operator<=>(const Id&, const Id&) = default;

private:
  std::string m_text;
};

/// A client account: pays for a request and owns the data that it uses.
using AccountId = Id<struct AccountKind>;
/// A model, by the name that callers use.
using ModelId = Id<struct ModelKind>;
/// A target: a model engine or a plain service instance behind the system.
using TargetId = Id<struct TargetKind>;
/// A store of KV cache blocks.
using StoreId = Id<struct StoreKind>;
/// One of the system's own instances.
using InstanceId = Id<struct InstanceKind>;
/// A data centre.
using DataCentreId = Id<struct DataCentreKind>;
/// A region: a group of data centres.
using RegionId = Id<struct RegionKind>;
/// One request of one caller, unique over the whole system.
using RequestId = Id<struct RequestKind>;

} // namespace jujubehead::core

template<typename Kind>
struct std::hash<jujubehead::core::Id<Kind>>
{
  std::size_t operator()(const jujubehead::core::Id<Kind>& aId) const noexcept
  {
    return std::hash<std::string>{}(aId.Text());
  }
};

#endif // JUJUBEHEAD_CORE_IDS_HPP
