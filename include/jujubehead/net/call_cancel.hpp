#ifndef JUJUBEHEAD_NET_CALL_CANCEL_HPP
#define JUJUBEHEAD_NET_CALL_CANCEL_HPP

#include <functional> // for function
#include <utility>    // for exchange, move

namespace jujubehead::net {

/// @brief Ends a call from outside, also while it still waits for its reply.
/// For one thread.
class CallCancel
{
public:
  /// @brief Cancels; what waits fails soon, and what starts later at once.
  void Cancel()
  {
    m_cancelled = true;
    if (const auto callback = std::exchange(m_on_cancel, nullptr)) {
      callback();
    }
  }
  [[nodiscard]] bool IsCancelled() const { return m_cancelled; }
  /// @brief Says what Cancel() does, in place of what was said before.
  void OnCancel(std::function<void()> aCallback)
  {
    m_on_cancel = std::move(aCallback);
  }

private:
  std::function<void()> m_on_cancel;
  bool m_cancelled = false;
};

} // namespace jujubehead::net

#endif // JUJUBEHEAD_NET_CALL_CANCEL_HPP
