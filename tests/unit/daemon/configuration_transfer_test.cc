/// @file
/// Tests of packing configurations and of the updates that transfer them: whole documents and
/// patches.
#include <string>

#include <doctest/doctest.h>

#include "daemon/configuration_transfer.h"

namespace workshatch::test {

namespace {

std::string documentAt(uint64_t version, size_t routes) {
  std::string document = "{\"version\":" + std::to_string(version) + ",\"routes\":[";
  for (size_t i = 0; i < routes; ++i) {
    document += "{\"name\":\"route-" + std::to_string(i) + "\",\"timeout\":4000},";
  }
  return document + "]}";
}

v1::StoredConfiguration storedAt(uint64_t version, size_t routes) {
  return daemon::packConfiguration(version, documentAt(version, routes));
}

} // namespace

TEST_CASE("Unpacking a stored configuration returns its document, or an error if it is damaged") {
  v1::StoredConfiguration stored = storedAt(4, 100);
  CHECK(stored.compressed_document().size() < documentAt(4, 100).size() / 3);
  CHECK(std::get<std::string>(daemon::unpackConfiguration(stored)) == documentAt(4, 100));
  stored.mutable_compressed_document()->pop_back();
  CHECK(isError(daemon::unpackConfiguration(stored)));
}

TEST_CASE("A receiver first gets the whole document compressed, then small patches") {
  daemon::ConfigurationUpdateBuilder sender;
  daemon::ReceivedConfiguration receiver;
  sender.add(storedAt(3, 1000));
  const v1::ConfigurationUpdate& whole = sender.updateFrom(receiver.version());
  CHECK(whole.ByteSizeLong() < documentAt(3, 1000).size() / 3);
  CHECK(std::get<bool>(receiver.apply(whole)));
  CHECK(receiver.document() == documentAt(3, 1000));
  sender.add(storedAt(8, 1001));
  const v1::ConfigurationUpdate& difference = sender.updateFrom(receiver.version());
  CHECK(difference.ByteSizeLong() < 300);
  CHECK(std::get<bool>(receiver.apply(difference)));
  CHECK(receiver.version() == 8);
  CHECK(receiver.document() == documentAt(8, 1001));
}

// Guards against a stored document that ends each replica at each start.
TEST_CASE("A stored configuration that cannot be read is left out, and later ones are sent") {
  daemon::ConfigurationUpdateBuilder sender;
  sender.add(storedAt(3, 10));
  v1::StoredConfiguration damaged = storedAt(4, 10);
  damaged.mutable_compressed_document()->pop_back();
  sender.add(damaged);
  CHECK(sender.updateFrom(0).version() == 3);
  sender.add(storedAt(5, 10));
  CHECK(sender.updateFrom(3).version() == 5);
  CHECK(sender.updateFrom(3).base_version() == 3);
}

TEST_CASE("A receiver with an unknown version gets the whole document") {
  daemon::ConfigurationUpdateBuilder sender;
  sender.add(storedAt(9, 10));
  CHECK(sender.updateFrom(5).base_version() == 0);
  for (uint64_t version = 10; version < 30; ++version) {
    sender.add(storedAt(version, 10));
  }
  CHECK(sender.updateFrom(9).base_version() == 0);
  CHECK(sender.updateFrom(28).base_version() == 28);
}

TEST_CASE("An older update changes nothing; after an inapplicable one the receiver starts over") {
  daemon::ConfigurationUpdateBuilder sender;
  daemon::ReceivedConfiguration receiver;
  sender.add(storedAt(1, 10));
  sender.add(storedAt(2, 10));
  REQUIRE(std::get<bool>(receiver.apply(sender.updateFrom(0))));
  CHECK_FALSE(std::get<bool>(receiver.apply(sender.updateFrom(1))));
  sender.add(storedAt(3, 10));
  CHECK(isError(receiver.apply(sender.updateFrom(1))));
  CHECK(receiver.version() == 2);
  receiver.reset();
  CHECK(std::get<bool>(receiver.apply(sender.updateFrom(receiver.version()))));
  CHECK(receiver.version() == 3);
}

} // namespace workshatch::test
