#include "standin/store_model.hpp"

#include <CppUTest/TestHarness.h> // for TEST

using namespace jujubehead::standin;

namespace {

const PieceId kFirst{ "h1", "1" };
const PieceId kSecond{ "h2", "1" };

StoredPiece
Piece(std::uint64_t aBytes)
{
  StoredPiece piece;
  piece.keys = { "a", "b" };
  piece.bytes = aBytes;
  piece.salt = "salt";
  return piece;
}

} // namespace

TEST_GROUP(StoreModel)
{
  // A link of one byte a microsecond.
  StoreModel store{ StoreOptions{ 1000, 1000, 1'000'000, 5, {} } };
};

TEST(StoreModel, APieceIsAnnouncedOnlyOnceCommitted)
{
  CHECK(!store.Commit(kFirst, 0));
  CHECK(store.Begin(kFirst, Piece(100)));
  CHECK(!store.Find(kFirst)->committed);
  LONGS_EQUAL(0, store.Events(0, 10)["events"].size());
  CHECK(store.Commit(kFirst, 0));
  CHECK(store.Events(0, 10)["events"].at(0).at("handle") == "h1");
}

TEST(StoreModel, OlderPiecesMoveToDiskAndAFullStoreRefuses)
{
  store.Begin(kFirst, Piece(800));
  store.Commit(kFirst, 0);
  CHECK(store.Begin(kSecond, Piece(800)));
  CHECK(store.Find(kFirst)->on_disk);
  store.Commit(kSecond, 0);
  CHECK(!store.Begin({ "h3", "1" }, Piece(800)));
  CHECK(store.Find(kSecond) != nullptr);
}

TEST(StoreModel, TheLinkCarriesOnePieceAfterAnother)
{
  store.Begin(kFirst, Piece(600));
  store.Begin(kSecond, Piece(200));
  LONGS_EQUAL(600, store.BookLink(kFirst, std::nullopt, 0));
  LONGS_EQUAL(700, store.BookLink(kSecond, 1, 0));
  LONGS_EQUAL(100, store.BookLink(kSecond, 1, 5000));
}
