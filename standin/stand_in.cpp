#include "standin/stand_in.hpp"

#include <utility> // for move

#include "standin/faces.hpp" // for MakeEngineFace, MakeStoreFace, ...

namespace jujubehead::standin {

namespace asio = boost::asio;

StandIn::StandIn(asio::io_context& aContext,
                 std::shared_ptr<Face> aFace,
                 const ListenOptions& aListen)
  : m_face(std::move(aFace))
  , m_address(aListen.address)
{
  net::HttpServerOptions options;
  options.address = aListen.address;
  options.port = aListen.port;
  m_face->Listen(aContext, std::move(options));
}

StandIn::~StandIn()
{
  if (m_face != nullptr) {
    m_face->Stop();
  }
}

StandIn
StandIn::Engine(asio::io_context& aContext,
                EngineOptions aOptions,
                const ListenOptions& aListen)
{
  return { aContext, MakeEngineFace(aContext, std::move(aOptions)), aListen };
}

StandIn
StandIn::Store(asio::io_context& aContext,
               StoreOptions aOptions,
               const ListenOptions& aListen)
{
  return { aContext, MakeStoreFace(aOptions), aListen };
}

StandIn
StandIn::Table(asio::io_context& aContext,
               TableOptions aOptions,
               const ListenOptions& aListen)
{
  return { aContext, MakeTableFace(aOptions), aListen };
}

StandIn
StandIn::Objects(asio::io_context& aContext, const ListenOptions& aListen)
{
  return { aContext, MakeObjectsFace(), aListen };
}

StandIn
StandIn::Members(asio::io_context& aContext,
                 const nlohmann::json& aMembers,
                 const ListenOptions& aListen)
{
  return { aContext, MakeMembersFace(aMembers), aListen };
}

StandIn
StandIn::Service(asio::io_context& aContext,
                 ServiceOptions aOptions,
                 const ListenOptions& aListen)
{
  return { aContext, MakeServiceFace(std::move(aOptions)), aListen };
}

StandIn
StandIn::Rows(asio::io_context& aContext, const ListenOptions& aListen)
{
  return { aContext, MakeRowsFace(), aListen };
}

StandIn
StandIn::Registered(asio::io_context& aContext,
                    RegisteredOptions aOptions,
                    const ListenOptions& aListen)
{
  return { aContext,
           MakeRegisteredFace(aContext, std::move(aOptions)),
           aListen };
}

StandIn
StandIn::Parts(asio::io_context& aContext, const ListenOptions& aListen)
{
  return { aContext, MakePartsFace(), aListen };
}

std::uint16_t
StandIn::Port() const
{
  return m_face->Port();
}

std::string
StandIn::Authority() const
{
  return m_address + ':' + std::to_string(Port());
}

nlohmann::json
StandIn::Stats() const
{
  return m_face->Stats();
}

void
StandIn::SetFault(const std::string& aName, const nlohmann::json& aBody)
{
  m_face->SetFault(aName, aBody);
}

void
StandIn::ClearFaults()
{
  m_face->ClearFaults();
}

void
StandIn::SetOnCrash(std::function<void()> aOnCrash)
{
  m_face->SetOnCrash(std::move(aOnCrash));
}

} // namespace jujubehead::standin
