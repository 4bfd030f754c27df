.PHONY: build test lint fleet fleet-stop

build:
	go build ./...

test:
	go test -race ./...

lint:
	./scripts/lint.sh

fleet:
	./scripts/fleet-start.sh

fleet-stop:
	./scripts/fleet-stop.sh
