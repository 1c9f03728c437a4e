package callerconn_test

import (
	"bufio"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("Serving ahead", func() {
	It("serves at the same time and answers in order", func() {
		release := make(chan struct{})
		s := serve(release)
		conn := s.dial()
		send(conn, "/ahead/slow1", "/ahead/2", "/3", "/ahead/4")
		Eventually(s.paths).Should(ConsistOf("/ahead/slow1", "/ahead/2", "/ahead/4"))
		Consistently(s.paths, "50ms").ShouldNot(ContainElement("/3"))
		send(conn, "/ahead/5")
		Eventually(s.paths).Should(ContainElement("/ahead/5"))
		close(release)
		reader := bufio.NewReader(conn)
		expectAnswers(reader, "/ahead/slow1", "/ahead/2", "/3", "/ahead/4", "/ahead/5")
		Expect(s.paths()).To(HaveLen(5))
		send(conn, "/ahead/6")
		expectAnswers(reader, "/ahead/6")
		Expect(s.paths()).To(HaveLen(6))
	})

	It("starts a request whose end arrives later", func() {
		release := make(chan struct{})
		s := serve(release)
		conn := s.dial()
		send(conn, "/slow1")
		Eventually(s.paths).Should(HaveLen(1))
		for _, piece := range []string{"G", "ET /ahead/2 HT", "TP/1.1\r\nHo", "st: a\r\n\r", "\n"} {
			time.Sleep(10 * time.Millisecond)
			_, err := conn.Write([]byte(piece))
			Expect(err).NotTo(HaveOccurred())
		}
		Eventually(s.paths).Should(Equal([]string{"/slow1", "/ahead/2"}))
		close(release)
		expectAnswers(bufio.NewReader(conn), "/slow1", "/ahead/2")
		Expect(s.paths()).To(HaveLen(2))
	})

	It("bounds the requests that it serves ahead on a connection", func() {
		release := make(chan struct{})
		s := serve(release)
		conn := s.dial()
		var paths []string
		for i := range 40 {
			paths = append(paths, fmt.Sprintf("/ahead/slow%d", i))
		}
		send(conn, paths...)
		Eventually(s.paths).Should(HaveLen(9))
		Consistently(s.paths, "50ms").Should(HaveLen(9))
		close(release)
		expectAnswers(bufio.NewReader(conn), paths...)
		Expect(s.paths()).To(HaveLen(40))
	})

	It("delivers long answers whole", func() {
		release := make(chan struct{})
		s := serve(release)
		conn := s.dial()
		send(conn, "/slow1", "/ahead/long", "/ahead/3")
		Eventually(s.paths).Should(HaveLen(3))
		close(release)
		reader := bufio.NewReader(conn)
		expectAnswers(reader, "/slow1", strings.Repeat("x", 200<<10)+"/ahead/long", "/ahead/3")
	})

	// Guards against an answer that broke off and looks complete, and against a later answer in its place.
	It("breaks the connection off where an answer broke off", func() {
		release := make(chan struct{})
		s := serve(release)
		conn := s.dial()
		send(conn, "/slow1", "/ahead/broken", "/ahead/3")
		Eventually(s.paths).Should(HaveLen(3))
		close(release)
		reader := bufio.NewReader(conn)
		expectAnswers(reader, "/slow1")
		response, err := http.ReadResponse(reader, nil)
		if err == nil {
			_, err = io.ReadAll(response.Body)
		}
		Expect(err).To(HaveOccurred())
	})

	It("ends what it serves ahead when the caller leaves", func() {
		s := serve(make(chan struct{}))
		conn := s.dial()
		send(conn, "/ahead/slow1", "/ahead/slow2", "/ahead/slow3")
		Eventually(s.paths).Should(HaveLen(3))
		_ = conn.Close()
		Eventually(s.leftPaths).Should(ConsistOf("/ahead/slow1", "/ahead/slow2", "/ahead/slow3"))
	})

	// Guards against a part of a request's body or header that is taken for a request of its own.
	DescribeTable("does not look for requests behind one whose end is in doubt",
		func(first string) {
			release := make(chan struct{})
			s := serve(release)
			conn := s.dial()
			_, err := conn.Write([]byte(first + get("/ahead/hidden")))
			Expect(err).NotTo(HaveOccurred())
			Consistently(s.paths, "50ms").ShouldNot(ContainElement("/ahead/hidden"))
			close(release)
		},
		Entry("a body", "POST /slow HTTP/1.1\r\nHost: a\r\nContent-Length: 500\r\n\r\n"),
		Entry("a body of a GET", "GET /slow HTTP/1.1\r\nHost: a\r\ncontent-length: 500\r\n\r\n"),
		Entry("a chunked body", "GET /slow HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n1f4\r\n"),
		Entry("bare line feeds", "GET /slow HTTP/1.1\nHost: a\nContent-Length: 500\n\n"),
		Entry("a space before the colon", "GET /slow HTTP/1.1\r\nHost: a\r\nContent-Length : 500\r\n\r\n"),
		Entry("a folded line", "GET /slow HTTP/1.1\r\nHost: a\r\n Content-Length: 500\r\n\r\n"),
		Entry("the last request of the connection", "GET /slow HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n"),
		Entry("HTTP/1.0", "GET /slow HTTP/1.0\r\nHost: a\r\n\r\n"),
	)
})
