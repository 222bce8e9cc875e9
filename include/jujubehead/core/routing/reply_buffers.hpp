#ifndef JUJUBEHEAD_CORE_ROUTING_REPLY_BUFFERS_HPP
#define JUJUBEHEAD_CORE_ROUTING_REPLY_BUFFERS_HPP

#include <cstddef>    // for size_t
#include <functional> // for function
#include <memory>     // for shared_ptr
#include <set>        // for set

namespace jujubehead::core {

/// @brief Bounds what an instance holds of replies that are not complete, over
/// all of them together.
///
/// Each reply is bounded by itself, but hundreds of faulty ones at once exceed
/// an instance's memory. When the sum is exceeded, the reply that holds most is
/// given up: valid replies are far smaller than those without an end.
///
/// @code
/// ReplyBuffers::Reply reply(buffers, [] { /* close its connection */ });
/// reply.SetSize(body.size());
/// @endcode
class ReplyBuffers
{
public:
  /// A quarter of the memory of the smallest instances.
  static constexpr std::size_t kDefaultMaxBytes = 64UL * 1024 * 1024;

  /// @brief One reply that is being received.
  class Reply
  {
  public:
    /// @param aBuffers is kept: a reply may outlive what its request used.
    /// @param aOnGivenUp frees what it holds. Must not destroy this.
    Reply(std::shared_ptr<ReplyBuffers> aBuffers,
          std::function<void()> aOnGivenUp);
    ~Reply();
    Reply(const Reply&) = delete;
    Reply& operator=(const Reply&) = delete;
    Reply(Reply&&) = delete;
    Reply& operator=(Reply&&) = delete;

    /// @param aBytes held now. May give up this reply, or another one.
    void SetSize(std::size_t aBytes);
    [[nodiscard]] bool IsGivenUp() const { return m_is_given_up; }

  private:
    friend class ReplyBuffers;
    std::shared_ptr<ReplyBuffers> m_buffers;
    std::function<void()> m_on_given_up;
    std::size_t m_bytes = 0;
    bool m_is_given_up = false;
  };

  explicit ReplyBuffers(std::size_t aMaxBytes = kDefaultMaxBytes)
    : m_max_bytes(aMaxBytes)
  {
  }

  [[nodiscard]] std::size_t Bytes() const { return m_bytes; }

private:
  void GiveUpLargest();

  std::size_t m_max_bytes;
  std::size_t m_bytes = 0;
  std::set<Reply*> m_replies;
};

} // namespace jujubehead::core

#endif // JUJUBEHEAD_CORE_ROUTING_REPLY_BUFFERS_HPP
