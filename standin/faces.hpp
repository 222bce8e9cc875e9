#ifndef JUJUBEHEAD_STANDIN_FACES_HPP
#define JUJUBEHEAD_STANDIN_FACES_HPP

#include <memory> // for shared_ptr

#include <boost/asio/io_context.hpp> // for io_context
#include <nlohmann/json.hpp>         // for json

#include "standin/face.hpp"     // for Face
#include "standin/stand_in.hpp" // for EngineOptions, ServiceOptions, ...

namespace jujubehead::standin {

std::shared_ptr<Face>
MakeEngineFace(boost::asio::io_context& aContext, EngineOptions aOptions);
std::shared_ptr<Face>
MakeStoreFace(StoreOptions aOptions);
std::shared_ptr<Face>
MakeTableFace(TableOptions aOptions);
std::shared_ptr<Face>
MakeObjectsFace();
std::shared_ptr<Face>
MakeMembersFace(const nlohmann::json& aMembers);
std::shared_ptr<Face>
MakeServiceFace(ServiceOptions aOptions);
std::shared_ptr<Face>
MakeRowsFace();
std::shared_ptr<Face>
MakeRegisteredFace(boost::asio::io_context& aContext,
                   RegisteredOptions aOptions);
std::shared_ptr<Face>
MakePartsFace();

} // namespace jujubehead::standin

#endif // JUJUBEHEAD_STANDIN_FACES_HPP
