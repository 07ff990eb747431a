package processtest

import (
	"fmt"
	"os/exec"
	"path/filepath"
)

// Binaries holds the paths of the programs under test.
type Binaries struct {
	Router string
	Ctl    string
}

// The main packages of the programs under test.
const (
	routerPackage = "cuminrock.example/router/cmd/cuminrock-router"
	ctlPackage    = "cuminrock.example/ctl/cmd/cuminrockctl"
)

// Build compiles both programs into dir.
func Build(dir string) (Binaries, error) {
	out, err := exec.Command("go", "build", "-o", dir, routerPackage, ctlPackage).CombinedOutput()
	if err != nil {
		return Binaries{}, fmt.Errorf("go build: %w\n%s", err, out)
	}
	return Binaries{
		Router: filepath.Join(dir, "cuminrock-router"),
		Ctl:    filepath.Join(dir, "cuminrockctl"),
	}, nil
}
