//go:build race

package main

const isRaceDetectorOn = true
