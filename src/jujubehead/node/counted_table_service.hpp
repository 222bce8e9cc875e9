#ifndef JUJUBEHEAD_NODE_COUNTED_TABLE_SERVICE_HPP
#define JUJUBEHEAD_NODE_COUNTED_TABLE_SERVICE_HPP

#include <memory> // for unique_ptr

#include "jujubehead/net/table_service.hpp" // for TableService

namespace jujubehead::node {

class ThreadMetrics;

/// @brief Counts the calls to a table service: reads, items written, failures.
/// @param aMetrics outlives what is returned.
std::unique_ptr<net::TableService>
CountCalls(std::unique_ptr<net::TableService> aService,
           ThreadMetrics& aMetrics);

} // namespace jujubehead::node

#endif // JUJUBEHEAD_NODE_COUNTED_TABLE_SERVICE_HPP
