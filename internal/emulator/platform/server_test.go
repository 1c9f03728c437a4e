package platform_test

import (
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	emulator "buckthornlatch.example/buckthornlatch/internal/emulator/platform"
	"buckthornlatch.example/buckthornlatch/internal/platform"
)

var _ = Describe("Server", func() {
	var (
		server *httptest.Server
		client *platform.Client
		ctx    = context.Background()
		txn    = platform.Txn{Puts: []platform.Put{{Key: "a", Value: []byte("1")}}}
	)

	BeforeEach(func() {
		server = httptest.NewServer(emulator.New(platform.NewMemory(), 1))
		DeferCleanup(server.Close)
		client = platform.NewClient(server.URL, &http.Client{Timeout: time.Second})
	})

	control := func(body string) int {
		request, err := http.NewRequest(http.MethodPut, server.URL+"/control/faults", strings.NewReader(body))
		Expect(err).NotTo(HaveOccurred())
		response, err := http.DefaultClient.Do(request)
		Expect(err).NotTo(HaveOccurred())
		Expect(response.Body.Close()).To(Succeed())
		return response.StatusCode
	}

	exists := func() bool {
		rows, err := client.Table().Get(ctx, []string{"a"})
		Expect(err).NotTo(HaveOccurred())
		return rows.Rows[0].Exists()
	}

	// Guards against a lost response whose write did not take effect, or whose error claims so.
	It("loses the response after the write", func() {
		Expect(control(`{"lose_responses":1}`)).To(Equal(http.StatusOK))
		_, err := client.Table().Commit(ctx, txn)
		Expect(err).To(BeAssignableToTypeOf(&platform.OutcomeUnknownError{}))
		Expect(control(`{}`)).To(Equal(http.StatusOK))
		Expect(exists()).To(BeTrue())
	})

	// Guards against writes that take effect while the platform is down.
	It("refuses without effect while it is down", func() {
		Expect(control(`{"down":true}`)).To(Equal(http.StatusOK))
		_, err := client.Table().Commit(ctx, txn)
		Expect(err).To(BeAssignableToTypeOf(&platform.NotDoneError{}))
		Expect(control(`{"down":false}`)).To(Equal(http.StatusOK))
		Expect(exists()).To(BeFalse())
	})

	// Guards against limits that are not enforced separately for reads and writes.
	It("limits writes", func() {
		Expect(control(`{"writes_per_second":1}`)).To(Equal(http.StatusOK))
		_, err := client.Table().Commit(ctx, txn)
		Expect(err).NotTo(HaveOccurred())
		_, err = client.Table().Commit(ctx, txn)
		Expect(err).To(BeAssignableToTypeOf(&platform.NotDoneError{}))
		Expect(exists()).To(BeTrue())
	})

	// Guards against a delay that is not applied before the call takes effect.
	It("delays calls", func() {
		Expect(control(`{"delay_ms":1500}`)).To(Equal(http.StatusOK))
		_, err := client.Table().Commit(ctx, txn)
		Expect(err).To(BeAssignableToTypeOf(&platform.OutcomeUnknownError{}))
		Expect(control(`{}`)).To(Equal(http.StatusOK))
		Expect(exists()).To(BeFalse())
	})

	// Guards against a process that does not end, or that ends with an error, when told to stop.
	It("serves until it is stopped", func() {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		running, stop := context.WithCancel(ctx)
		done := make(chan error, 1)
		go func() { done <- emulator.New(platform.NewMemory(), 1).Serve(running, listener) }()
		client := platform.NewClient("http://"+listener.Addr().String(), &http.Client{Timeout: time.Second})
		_, err = client.Table().Commit(ctx, txn)
		Expect(err).NotTo(HaveOccurred())
		stop()
		Eventually(done, 5*time.Second).Should(Receive(BeNil()))
	})

	// Guards against a misspelt fault that is ignored silently.
	It("refuses unknown faults", func() {
		Expect(control(`{"dwon":true}`)).To(Equal(http.StatusBadRequest))
	})
})
