#include "jujubehead/core/membership/instance_directory.hpp"

#include <CppUTest/TestHarness.h> // for TEST

using namespace jujubehead::core;
using std::chrono::minutes;
using std::chrono::seconds;

TEST_GROUP(InstanceDirectory)
{
  const Instant now = Instant(std::chrono::hours(5));
  InstanceDirectory book{ KnownInstance{ "i1", "10.0.0.1:7" } };

  void ReadNothing()
  {
    book.BeginAll();
    book.EndAll();
  }
};

TEST(InstanceDirectory, NothingIsWrittenBeforeTheRowsWereRead)
{
  CHECK_FALSE(book.NextWrite(now).has_value());
}

TEST(InstanceDirectory, AnInstanceWritesItsRowOnce)
{
  ReadNothing();
  const auto write = book.NextWrite(now);
  CHECK(write.has_value());
  STRCMP_EQUAL("i1", write->id.c_str());
  STRCMP_EQUAL("10.0.0.1:7", write->value->c_str());
  LONGS_EQUAL(0, write->expected_version);
  book.OnRow("i1", "10.0.0.1:7", 5, now);
  CHECK_FALSE(book.NextWrite(now + minutes(9)).has_value());
  const auto refresh = book.NextWrite(now + minutes(10));
  LONGS_EQUAL(5, refresh->expected_version);
}

TEST(InstanceDirectory, AnInstanceAtANewAddressRewritesItsRow)
{
  book.BeginAll();
  book.OnRow("i1", "10.9.9.9:7", 4, now);
  book.EndAll();
  const auto write = book.NextWrite(now);
  STRCMP_EQUAL("10.0.0.1:7", write->value->c_str());
  LONGS_EQUAL(4, write->expected_version);
}

TEST(InstanceDirectory, OthersExcludesThisInstance)
{
  ReadNothing();
  book.OnRow("i1", "10.0.0.1:7", 1, now);
  book.OnRow("i2", "10.0.0.2:7", 2, now);
  book.OnRow("i3", "10.0.0.3:7", 3, now);
  LONGS_EQUAL(2, book.Others().size());
  book.OnRow("i2", std::nullopt, 4, now);
  LONGS_EQUAL(1, book.Others().size());
  STRCMP_EQUAL("10.0.0.3:7", book.Others()[0].address.c_str());
}

TEST(InstanceDirectory, AnExpiredRowIsDeleted)
{
  ReadNothing();
  book.OnRow("i1", "10.0.0.1:7", 1, now + minutes(25));
  book.OnRow("i2", "10.0.0.2:7", 2, now);
  CHECK_FALSE(book.NextWrite(now + minutes(30) - seconds(1)).has_value());
  const auto write = book.NextWrite(now + minutes(30));
  STRCMP_EQUAL("i2", write->id.c_str());
  CHECK_FALSE(write->value.has_value());
  LONGS_EQUAL(2, write->expected_version);
  // The row is refreshed before it is deleted.
  book.OnRow("i2", "10.0.0.2:7", 9, now + minutes(30));
  CHECK_FALSE(book.NextWrite(now + minutes(31)).has_value());
}

TEST(InstanceDirectory, AnOlderVersionIsIgnored)
{
  ReadNothing();
  book.OnRow("i2", "10.0.0.2:7", 5, now);
  book.OnRow("i2", "10.0.0.9:7", 4, now);
  book.OnRow("i2", std::nullopt, 4, now);
  STRCMP_EQUAL("10.0.0.2:7", book.Others()[0].address.c_str());
}

TEST(InstanceDirectory, TheCapacityFollowsTheAddress)
{
  const KnownInstance instance{ "i1", "10.0.0.1:7", 0.5 };
  STRCMP_EQUAL("10.0.0.1:7 0.5", EncodeInstanceRow(instance).c_str());
  const KnownInstance parsed =
    DecodeInstanceRow("i1", EncodeInstanceRow(instance));
  STRCMP_EQUAL("10.0.0.1:7", parsed.address.c_str());
  DOUBLES_EQUAL(0.5, parsed.capacity, 1e-9);
  // A row of an older version, and malformed ones.
  DOUBLES_EQUAL(0, DecodeInstanceRow("i2", "10.0.0.2:7").capacity, 1e-9);
  DOUBLES_EQUAL(0, DecodeInstanceRow("i2", "10.0.0.2:7 much").capacity, 1e-9);
  STRCMP_EQUAL("10.0.0.2:7",
               DecodeInstanceRow("i2", "10.0.0.2:7 x").address.c_str());
}

TEST(InstanceDirectory, TheDataCentreFollowsTheCapacity)
{
  KnownInstance instance{ "i1", "10.0.0.1:7", 0.5, DataCentreId("north") };
  STRCMP_EQUAL("10.0.0.1:7 0.5 north", EncodeInstanceRow(instance).c_str());
  const KnownInstance parsed =
    DecodeInstanceRow("i1", EncodeInstanceRow(instance));
  CHECK(parsed.data_centre == DataCentreId("north"));
  DOUBLES_EQUAL(0.5, parsed.capacity, 1e-9);
  instance.capacity = 0;
  STRCMP_EQUAL("10.0.0.1:7 0 north", EncodeInstanceRow(instance).c_str());
  CHECK(DecodeInstanceRow("i1", "10.0.0.1:7 0.5").data_centre ==
        DataCentreId());
}
