// Package health rates targets by the outcome of the runs on them.
//
// A target may fail, stall or slow down everything it runs and still report itself
// healthy. Runs also fail through their own fault, and estimates of run time are off by
// up to half either way; so one fault makes a target suspect, and only several quarantine
// it. Evidence decays with time, because such faults are transient and a target without
// work produces no evidence.
package health
