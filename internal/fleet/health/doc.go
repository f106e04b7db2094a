// Package health judges targets by what becomes of the tasks on them.
//
// A target may fail everything that it starts, let it stand still or run it
// slowly, and report itself well all the while. Tasks fail by their own fault,
// too, and estimates of their run time are rough; so one sign is a doubt and only
// several are a verdict. Doubt fades with time, since such troubles pass and a
// target that gets no work shows no signs.
package health
