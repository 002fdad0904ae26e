"""Tests of mustardfall; helpers shared by them live beside them."""
