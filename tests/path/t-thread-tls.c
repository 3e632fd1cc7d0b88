#include <gnutls/gnutls.h>
#include <gnutls/x509.h>
#include <string.h>
#include <time.h>
#include <unistd.h>

#include "harness.h"

#define DAY_S (24 * 3600)

/* A certificate of the test's own, as PEM texts. */
struct identity {
	gnutls_datum_t certificate;
	gnutls_datum_t key;
};

static struct identity identity;

static void make_identity(void)
{
	gnutls_x509_privkey_t key;
	gnutls_x509_crt_t crt;

	gnutls_x509_privkey_init(&key);
	gnutls_x509_privkey_generate(key, GNUTLS_PK_ECDSA,
				     GNUTLS_CURVE_TO_BITS(
					     GNUTLS_ECC_CURVE_SECP256R1),
				     0);
	gnutls_x509_crt_init(&crt);
	gnutls_x509_crt_set_version(crt, 3);
	gnutls_x509_crt_set_serial(crt, "\x01", 1);
	gnutls_x509_crt_set_activation_time(crt, time(NULL) - DAY_S);
	gnutls_x509_crt_set_expiration_time(crt, time(NULL) + DAY_S);
	gnutls_x509_crt_set_dn(crt, "CN=entry-1", NULL);
	gnutls_x509_crt_set_key(crt, key);
	g_assert_cmpint(gnutls_x509_crt_sign2(crt, crt, key, GNUTLS_DIG_SHA256,
					      0),
			==, 0);
	gnutls_x509_crt_export2(crt, GNUTLS_X509_FMT_PEM,
				&identity.certificate);
	gnutls_x509_privkey_export2(key, GNUTLS_X509_FMT_PEM, &identity.key);
	gnutls_x509_crt_deinit(crt);
	gnutls_x509_privkey_deinit(key);
}

static void with_tls(struct http_in_options *options)
{
	options->certificate = (const char *)identity.certificate.data;
	options->private_key = (const char *)identity.key.data;
	options->idle_s = 1;
}

static void ask_health(gnutls_session_t session)
{
	static const char request[] =
		"GET /healthz HTTP/1.1\r\nHost: h\r\n\r\n";
	char reply[16] = { 0 };

	gnutls_record_send(session, request, sizeof(request) - 1);
	g_assert_cmpint(gnutls_record_recv(session, reply, 12), ==, 12);
	g_assert_cmpstr(reply, ==, "HTTP/1.1 503");
}

static void callers_are_served_under_tls(void)
{
	gnutls_certificate_credentials_t trusted;
	gnutls_session_t session;
	struct harness harness;
	int fd;

	harness_start(&harness, with_tls);
	fd = harness_dial(&harness, HTTP_CALLERS);
	gnutls_certificate_allocate_credentials(&trusted);
	gnutls_certificate_set_x509_trust_mem(trusted, &identity.certificate,
					      GNUTLS_X509_FMT_PEM);
	gnutls_init(&session, GNUTLS_CLIENT);
	gnutls_set_default_priority(session);
	gnutls_credentials_set(session, GNUTLS_CRD_CERTIFICATE, trusted);
	gnutls_session_set_verify_cert(session, NULL, 0);
	gnutls_transport_set_int(session, fd);
	g_assert_cmpint(gnutls_handshake(session), ==, 0);
	ask_health(session);
	gnutls_deinit(session);
	gnutls_certificate_free_credentials(trusted);
	close(fd);
	harness_stop(&harness);
}

/* Plain bytes at a TLS listener, and a handshake that never goes on. */
static void plain_text_and_silence_are_cut_off(void)
{
	g_autoptr(GString) reply = g_string_new(NULL);
	struct harness harness;
	int silent;
	int plain;

	harness_start(&harness, with_tls);
	silent = harness_dial(&harness, HTTP_CALLERS);
	plain = harness_dial(&harness, HTTP_CALLERS);
	write_text(plain, "GET /healthz HTTP/1.1\r\nHost: h\r\n\r\n");
	read_all(plain, reply);
	g_assert_null(strstr(reply->str, "HTTP/1.1"));
	read_all(silent, reply);
	close(plain);
	close(silent);
	harness_stop(&harness);
}

int main(int argc, char **argv)
{
	int status;

	g_test_init(&argc, &argv, NULL);
	make_identity();
	g_test_add_func("/tls/served", callers_are_served_under_tls);
	g_test_add_func("/tls/cut-off", plain_text_and_silence_are_cut_off);
	status = g_test_run();
	gnutls_free(identity.certificate.data);
	gnutls_free(identity.key.data);
	return status;
}
