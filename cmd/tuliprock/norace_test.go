//go:build !race

package main

const isRaceDetectorOn = false
