#ifndef JUJUBEHEAD_NODE_PUBLISHED_HPP
#define JUJUBEHEAD_NODE_PUBLISHED_HPP

#include <memory> // for shared_ptr
#include <mutex>  // for mutex, scoped_lock

namespace jujubehead::node {

/// @brief An immutable value that the control thread replaces and the traffic
/// threads read.
template<typename T>
class Published
{
public:
  void Set(std::shared_ptr<const T> aValue)
  {
    const std::scoped_lock lock(m_mutex);
    m_value = std::move(aValue);
  }

  /// @return the newest value; null before the first.
  [[nodiscard]] std::shared_ptr<const T> Get() const
  {
    const std::scoped_lock lock(m_mutex);
    return m_value;
  }

private:
  mutable std::mutex m_mutex;
  std::shared_ptr<const T> m_value;
};

} // namespace jujubehead::node

#endif // JUJUBEHEAD_NODE_PUBLISHED_HPP
