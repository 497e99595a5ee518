//go:build deps

// Package marjorampitch pins the modules that the packages below will import.
package marjorampitch

import (
	_ "github.com/HdrHistogram/hdrhistogram-go"
	_ "github.com/alitto/pond/v2"
	_ "github.com/cespare/xxhash/v2"
	_ "github.com/charmbracelet/log"
	_ "github.com/go-echarts/go-echarts/v2/charts"
	_ "github.com/go-resty/resty/v2"
	_ "github.com/google/uuid"
	_ "github.com/hashicorp/golang-lru/v2"
	_ "github.com/pmezard/go-difflib/difflib"
	_ "github.com/prometheus/client_golang/prometheus/promhttp"
	_ "github.com/rogpeppe/go-internal/testscript"
	_ "go.opentelemetry.io/otel/exporters/otlp/otlptrace/otlptracehttp"
	_ "go.opentelemetry.io/otel/exporters/stdout/stdouttrace"
	_ "go.opentelemetry.io/otel/sdk/trace"
	_ "golang.org/x/time/rate"
	_ "gonum.org/v1/gonum/stat"
	_ "gonum.org/v1/gonum/stat/distuv"
	_ "gopkg.in/ini.v1"
	_ "pgregory.net/rapid"
)
