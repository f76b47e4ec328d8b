// Command platform runs a stand-in for the platform's table service.
package main

import (
	"fmt"
	"net/http"
	"os"
	"time"

	"github.com/integrii/flaggy"

	"eelgrasspoint/standin/platform"
)

func main() {
	address := "127.0.0.1:9000"
	flaggy.String(&address, "a", "address", "address to listen on")
	flaggy.Parse()
	server := &http.Server{Addr: address, Handler: platform.New(), ReadHeaderTimeout: 10 * time.Second}
	fmt.Fprintln(os.Stderr, server.ListenAndServe())
	os.Exit(1)
}
