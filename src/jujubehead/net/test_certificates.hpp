#ifndef JUJUBEHEAD_NET_TEST_CERTIFICATES_HPP
#define JUJUBEHEAD_NET_TEST_CERTIFICATES_HPP

#include <cstdio>     // for FILE
#include <filesystem> // for path
#include <memory>     // for unique_ptr
#include <stdexcept>  // for runtime_error
#include <string>     // for string
#include <unistd.h>   // for getpid

#include <openssl/evp.h>  // for EVP_EC_gen
#include <openssl/pem.h>  // for PEM_write_X509
#include <openssl/x509.h> // for X509

#include "jujubehead/net/tls.hpp" // for TlsFiles

namespace jujubehead::net::test {

/// @brief A directory of keys and certificates that are made for one test.
class TestCertificates
{
public:
  TestCertificates()
    : m_folder(std::filesystem::temp_directory_path() /
               ("jujubehead_net_test." + std::to_string(getpid())))
  {
    std::filesystem::create_directories(m_folder);
  }
  ~TestCertificates() { std::filesystem::remove_all(m_folder); }
  TestCertificates(const TestCertificates&) = delete;
  TestCertificates& operator=(const TestCertificates&) = delete;
  TestCertificates(TestCertificates&&) = delete;
  TestCertificates& operator=(TestCertificates&&) = delete;

  [[nodiscard]] std::string PathOf(const std::string& aName) const
  {
    return (m_folder / aName).string();
  }

  /// @brief Writes a self-signed certificate, its own authority.
  /// @return the files, the authority's among them.
  TlsFiles Make(const std::string& aName) const
  {
    const KeyPointer key(EVP_EC_gen("P-256"), EVP_PKEY_free);
    const CertificatePointer certificate(X509_new(), X509_free);
    Fill(*certificate, *key, aName);
    TlsFiles files{ PathOf(aName + ".pem"),
                    PathOf(aName + ".key"),
                    PathOf(aName + ".pem") };
    const FilePointer chain = Open(files.certificate);
    PEM_write_X509(chain.get(), certificate.get());
    const FilePointer secret = Open(files.key);
    PEM_write_PrivateKey(
      secret.get(), key.get(), nullptr, nullptr, 0, nullptr, nullptr);
    return files;
  }

private:
  using KeyPointer = std::unique_ptr<EVP_PKEY, void (*)(EVP_PKEY*)>;
  using CertificatePointer = std::unique_ptr<X509, void (*)(X509*)>;
  using FilePointer = std::unique_ptr<FILE, int (*)(FILE*)>;

  static FilePointer Open(const std::string& aPath)
  {
    FilePointer file(std::fopen(aPath.c_str(), "w"), std::fclose);
    if (!file) {
      throw std::runtime_error("cannot write " + aPath);
    }
    return file;
  }

  static void Fill(X509& aCertificate, EVP_PKEY& aKey, const std::string& aName)
  {
    constexpr long kHour = 3600;
    X509_set_version(&aCertificate, X509_VERSION_3);
    ASN1_INTEGER_set(X509_get_serialNumber(&aCertificate), 1);
    X509_gmtime_adj(X509_getm_notBefore(&aCertificate), -kHour);
    X509_gmtime_adj(X509_getm_notAfter(&aCertificate), kHour);
    X509_set_pubkey(&aCertificate, &aKey);
    X509_NAME* const name = X509_get_subject_name(&aCertificate);
    X509_NAME_add_entry_by_txt(
      name,
      "CN",
      MBSTRING_ASC,
      reinterpret_cast<const unsigned char*>(aName.c_str()),
      -1,
      -1,
      0);
    X509_set_issuer_name(&aCertificate, name);
    X509_sign(&aCertificate, &aKey, EVP_sha256());
  }

  std::filesystem::path m_folder;
};

} // namespace jujubehead::net::test

#endif // JUJUBEHEAD_NET_TEST_CERTIFICATES_HPP
