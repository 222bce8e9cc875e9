#include "jujubehead/core/routing/reply_buffers.hpp"

#include <algorithm> // for max_element
#include <utility>   // for move

namespace jujubehead::core {

ReplyBuffers::Reply::Reply(std::shared_ptr<ReplyBuffers> aBuffers,
                           std::function<void()> aOnGivenUp)
  : m_buffers(std::move(aBuffers))
  , m_on_given_up(std::move(aOnGivenUp))
{
  m_buffers->m_replies.insert(this);
}

ReplyBuffers::Reply::~Reply()
{
  m_buffers->m_bytes -= m_bytes;
  m_buffers->m_replies.erase(this);
}

void
ReplyBuffers::Reply::SetSize(std::size_t aBytes)
{
  if (m_is_given_up) {
    return;
  }
  m_buffers->m_bytes += aBytes;
  m_buffers->m_bytes -= m_bytes;
  m_bytes = aBytes;
  while (m_buffers->m_bytes > m_buffers->m_max_bytes) {
    m_buffers->GiveUpLargest();
  }
}

void
ReplyBuffers::GiveUpLargest()
{
  Reply& largest = **std::max_element(m_replies.begin(),
                                      m_replies.end(),
                                      [](const Reply* aOne, const Reply* aTwo) {
                                        return aOne->m_bytes < aTwo->m_bytes;
                                      });
  m_bytes -= largest.m_bytes;
  largest.m_bytes = 0;
  largest.m_is_given_up = true;
  largest.m_on_given_up();
}

} // namespace jujubehead::core
